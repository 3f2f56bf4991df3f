#!/usr/bin/env bash
# Builds the programs of the review's scripts into review/out. Needs a C++20 compiler and nlohmann-json, as the project does.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
for source in */case.cpp; do
    number=$(dirname "$source")
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -Istand-ins "$source" -o "out/case-$number"
done

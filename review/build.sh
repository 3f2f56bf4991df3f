#!/usr/bin/env bash
# Builds the programs of the review's scripts into target/review. Needs a C++20 compiler and nlohmann-json, as the project does.
set -euo pipefail
cd "$(dirname "$0")"
out=../target/review
mkdir -p "$out"
for source in */case.cpp; do
    number=$(dirname "$source")
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -I. "$source" -o "$out/case-$number"
done

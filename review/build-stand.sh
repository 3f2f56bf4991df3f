#!/usr/bin/env bash
# Builds the cases on stand.h.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cpp; do
    if grep -q '"\.\./\(stand\|slow_readers\)\.h"' "$source"; then
        g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/$(basename "$(dirname "$source")")"
    fi
done

#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -pthread -o target/review-3/cases review/stand-3/cases.cpp

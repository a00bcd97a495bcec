#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into
# target/review-stand-2/. Run it after the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/stand-2 -B target/review-stand-2 -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build target/review-stand-2 --parallel 6

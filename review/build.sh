#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review-stand/. Run it
# after the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/stand -B target/review-stand -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build target/review-stand --parallel 6 --target review-stand

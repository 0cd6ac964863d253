#!/usr/bin/env bash
# Builds the cases of the second review and their stand-ins into target/review-2. Run it after the build of
# deploy/system.toml; it needs no other packages.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2 -j4

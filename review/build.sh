#!/usr/bin/env bash
# Builds the programs of the cases, with their stand-ins, into target/review. Needs g++ and the header
# of nlohmann-json3-dev, which deploy/system.toml lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-9]/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review/case-$number"
done

#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start: the project's own store, and the programs of
# review/stand_ins_2. The router itself comes from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
[ -f target/CMakeCache.txt ] || cmake -S . -B target -DCMAKE_BUILD_TYPE=Release
cmake --build target -j4 --target standin-store
mkdir -p target/review-2
for source in review/stand_ins_2/case_*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-2/${name/_/-}" "$source" \
    review/stand_ins_2/harness.cc review/stand_ins_2/fleet.cc
done

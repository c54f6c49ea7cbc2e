#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15 into target/review-3: those of the project, and the new ones of this review.
# Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target -j6 --target standin-store standin-wire standin-proxy >/dev/null
mkdir -p target/review-3
cp target/standin-store target/standin-wire target/standin-proxy target/review-3/
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o target/review-3/stream-callers review/stand_ins_3/stream_callers.cc

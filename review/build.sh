#!/usr/bin/env bash
# Builds what the scripts in review/ start besides the gateway: the project's stand-in for the store, and the review's own stand-ins
# for servers and clients. The build of the deploy file comes first; everything is placed under target/.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target -j4 --target auburnloft-gateway standin-store
mkdir -p target/review
for program in server clients late_clients ports call; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review/review-$program" \
    "review/stand_ins/${program}_main.cc" review/stand_ins/net.cc
done

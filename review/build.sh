#!/bin/bash
# Builds the stand-ins and the test of each case into target/review, after the build of the deploy
# file. Needs nothing but what that build needs.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
libs="target/libseampass_core.a"
for name in uv_a http_parser; do
  libs="$libs $(find /usr/lib /usr/local/lib -name "lib$name.a" 2>/dev/null | head -1)"
done
flags="-std=c++20 -O1 -Wall -Wextra -Isrc -Ireview/standin"
g++ $flags -c review/standin/world.cc -o target/review/world.o
for source in review/[0-9]*/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ $flags "$source" target/review/world.o $libs -lpthread -ldl -lrt -o "target/review/case-$number"
done

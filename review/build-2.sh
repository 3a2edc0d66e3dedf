#!/bin/sh
# Builds the stand-ins of the cases review/4 and later, with the packages of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o target/review/standin2 review/standin-2/main.cc

#!/bin/bash
# Builds the stand-ins of the cases into target/review. Needs the packages of the deploy file, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
    n=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra "$source" -o "target/review/case$n" -pthread -lboost_json &
    pids="${pids:-} $!"
done
for pid in $pids; do wait "$pid"; done

#!/usr/bin/env bash
# Builds the stand-ins of review/4 and following into target/review-2, with the
# compiler and the library that the build of the deploy file needs too.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for main in foreign_answer untrue_refusal slow_caller foreign_entries; do
    g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "$out/$main" \
        "review/standin-2/$main.cpp" review/standin-2/http_connection.cpp \
        review/standin-2/small_deployment.cpp
done
echo "built in $out"

#!/usr/bin/env bash
# Builds the cases and their stand-ins into review/build. Needs the packages of
# the deploy file, and no other.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/build
for folder in review/[0-9]; do
    [ -f "$folder/case.cpp" ] || continue
    g++ -std=c++17 -O2 -pthread -I test -o "review/build/case-${folder##*/}" \
        "$folder/case.cpp" review/standin/*.cpp \
        test/platform/settings_template.cpp
done

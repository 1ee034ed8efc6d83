#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-review-3 -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DCMAKE_PROJECT_cicadahatch_INCLUDE="$PWD/review/standins-3/targets.cmake" >/dev/null
mapfile -t programs < <(cd review/standins-3 && printf 'review_%s\n' case_*.cpp | sed 's/\.cpp$//')
cmake --build build-review-3 --target "${programs[@]}"

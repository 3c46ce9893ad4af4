#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripted cases, and the project's
# own that they use, into build/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B build/review-2 -G Ninja \
  -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build/review-2 --target review-case

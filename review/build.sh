#!/usr/bin/env bash
# Builds the stand-ins of the review's scripted cases into build/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B build/review -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build/review --target review-case

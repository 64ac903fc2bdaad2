#!/usr/bin/env bash
# Builds what the scripts of the third review start, besides the build of the deploy file: one
# program a case, which holds the stand-ins, the operator and the check. Needs g++ and nothing else.
set -euo pipefail
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
mkdir -p "${here}/lib3/build"
jobs_started=()
for source in "${here}"/lib3/*.cpp; do
    name=$(basename "${source}" .cpp)
    g++ -std=c++20 -O1 -pthread -Wall -Wextra "${source}" -o "${here}/lib3/build/${name}" &
    jobs_started+=($!)
done
for job in "${jobs_started[@]}"; do
    wait "${job}"
done

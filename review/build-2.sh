#!/usr/bin/env bash
# Builds what the scripts of the second review (cases 6 to 10) start, besides the build of the deploy
# file: one program a case, which holds the clients, the targets, the operator and the check. Needs
# g++ and nothing else.
set -euo pipefail
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
mkdir -p "${here}/lib2/build"
for source in "${here}"/lib2/*.cpp; do
    name=$(basename "${source}" .cpp)
    g++ -std=c++20 -O1 -pthread -Wall -Wextra -I"${here}/lib2" "${source}" -o "${here}/lib2/build/${name}" &
done
status=0
for job in $(jobs -p); do
    wait "${job}" || status=1
done
exit "${status}"

#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python programs without packages, so this only
# checks that the interpreter is there and that the programs compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib, sys, tomllib
assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for path in pathlib.Path(".").rglob("*.py"):
    compile(path.read_text(), str(path), "exec")
PYTHON
echo "nothing to build: the stand-ins are Python programs"

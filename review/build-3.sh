#!/bin/sh
# Builds what the scripts of the cases 11 to 15 start besides the project's
# programs: all of it is Python, so that only the syntax is checked.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - review/harness_3.py \
    review/crowds_3.py standins/store.py review/1[1-5]/case.py <<'CODE'
import pathlib
import sys

for path in map(pathlib.Path, sys.argv[1:]):
    if path.exists():
        compile(path.read_text(encoding="utf-8"), str(path), "exec")
CODE

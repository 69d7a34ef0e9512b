#!/bin/sh
# Compiles the stand-ins that the scripts of review/6 to review/10 start. They
# need the libraries that the build of the deploy file puts in target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c "import aiohttp, orjson, uvloop"
for folder in 6 7 8 9 10; do
    if [ -f "review/$folder/case.py" ]; then
        python3 -m compileall -q "review/$folder/case.py"
    fi
done
python3 -m compileall -q standins/store.py review/deployment.py

#!/bin/sh
# Plays the case once; writes record.txt. With TROUBLE=0 no worker fails.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps
python3 -c "import aiohttp, orjson" || exit 2
exec python3 review/9/case.py

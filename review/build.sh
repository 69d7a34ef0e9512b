#!/usr/bin/env bash
# Checks that the stand-ins load. They need no building, only the libraries
# that the build line of deploy/system.toml has put into target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c '
import sys
sys.path.insert(0, "review")
import harness
'

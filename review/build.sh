#!/usr/bin/env bash
# Checks that the stand-ins of the scripts load; they need nothing else.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c "
import sys
sys.path.insert(0, 'review')
import harness
"

#!/bin/sh
# Builds the stand-ins of the review. They are Python files that use the
# standard library only, and run in the process of each case.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q bed.py [1-5]

#!/bin/sh
# Builds the stand-ins of the second review. They are in review/bed2.py and in
# the scripts of the cases, use the standard library only, and start no further
# program; the gateways come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/bed2.py review/6 review/7 review/8 review/9 \
  review/10

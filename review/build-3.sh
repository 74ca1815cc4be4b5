#!/bin/sh
# Builds what the scripts of the third review start besides the gateways: the
# stand-ins of review/bed3.py, which need Python's standard library only.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'END'
import ast
import pathlib

for path in [pathlib.Path("review/bed3.py"), *pathlib.Path("review").glob("1[1-5]/*.py")]:
    ast.parse(path.read_text(), str(path))
END

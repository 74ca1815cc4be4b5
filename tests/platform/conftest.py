"""Makes the stand-ins importable from the tests in this directory."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent))

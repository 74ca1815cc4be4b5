"""What a deployed gateway installs."""

import importlib.metadata
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[2]
# Imports the program while the modules of the arguments are missing.
_START = """
import sys

class Hider:
    def find_spec(self, name, path=None, target=None):
        if name.partition(".")[0] in sys.argv:
            raise ModuleNotFoundError(f"No module named {name!r}", name=name)

sys.meta_path.insert(0, Hider())
import nutmegpost_platform.main
"""


def _owners():
    """Returns the distributions of each installed module."""
    return importlib.metadata.packages_distributions()


def _normalize(distribution):
    return re.sub(r"[-_.]+", "-", distribution).lower()


def test_gateway_starts_with_only_what_its_deployment_installs():
    lines = (ROOT / "deploy" / "requirements.txt").read_text().splitlines()
    installed = {_normalize(line.partition("==")[0]) for line in lines}
    hidden = [
        module
        for module, owners in _owners().items()
        if not any(
            _normalize(owner) in installed or owner.startswith("nutmegpost")
            for owner in owners
        )
    ]
    assert "transitions" in hidden
    path = os.pathsep.join(entry for entry in sys.path if entry)
    result = subprocess.run(
        [sys.executable, "-c", _START, *hidden],
        env={"PYTHONPATH": path},
        capture_output=True,
        check=False,
        text=True,
    )
    assert result.returncode == 0, result.stderr

"""Checkouts of this repository, built as the deploy file says."""

import os
import pathlib
import shutil
import subprocess
import tomllib
from typing import Any

import attrs

ROOT = pathlib.Path(__file__).parents[2]
# What the build needs: neither the tests nor their libraries.
NEEDED_PATHS = ("deploy", "requirements.txt", "src")
# Variables of its caller that the platform passes on.
PASSED_VARIABLES = ("PATH", "HOME", "LANG")
LIBRARIES = "target/deps"
MODULE = "eelgrassweir.mesh.main"


@attrs.frozen
class Checkout:
    """Copy of what the build needs, in a folder of its own."""

    path: pathlib.Path

    def build(self, **variables: str) -> "subprocess.CompletedProcess[str]":
        """Run the command of the deploy file in a shell."""
        command: str = read_deploy_file()["build"]
        return subprocess.run(
            command,
            shell=True,
            cwd=self.path,
            env=os.environ | variables,
            capture_output=True,
            text=True,
            check=False,
        )

    def can_start_daemon(self) -> bool:
        """Return whether the daemon and all its libraries can be imported."""
        result = subprocess.run(
            ["python3", "-c", f"import {MODULE}"],
            cwd=self.path,
            env=self.make_environment(),
            check=False,
        )
        return result.returncode == 0

    def make_environment(self) -> dict[str, str]:
        """Return the environment in which the platform starts a program."""
        passed = {
            name: os.environ[name] for name in PASSED_VARIABLES if name in os.environ
        }
        return passed | {"PYTHONPATH": str(self.path / LIBRARIES)}


def make_checkout(path: pathlib.Path) -> Checkout:
    """Copy what the build needs to a new folder."""
    path.mkdir()
    for name in NEEDED_PATHS:
        source = ROOT / name
        if source.is_dir():
            ignored = shutil.ignore_patterns("__pycache__", "*.egg-info")
            shutil.copytree(source, path / name, ignore=ignored)
        else:
            shutil.copy2(source, path / name)
    return Checkout(path)


def read_deploy_file() -> dict[str, Any]:
    """Return the deploy file of this repository."""
    return tomllib.loads((ROOT / "deploy/system.toml").read_text())

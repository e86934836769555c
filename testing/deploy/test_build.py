"""Guard against builds after which no daemon starts."""

import os
import pathlib
import shutil

import pytest

from testing.deploy.checkout import LIBRARIES, Checkout, make_checkout


def copy_built(built: Checkout, tmp_path: pathlib.Path) -> Checkout:
    """Return a copy of a built checkout, which a test may damage."""
    path = tmp_path / "checkout"
    shutil.copytree(built.path, path)
    return Checkout(path)


def test_clean_checkout_can_start_the_daemon(built: Checkout) -> None:
    """Guard against a build that lacks a library."""
    assert built.can_start_daemon()


@pytest.mark.parametrize("library", ["uvloop", "httptools"])
def test_libraries_that_cannot_be_imported_are_replaced(
    built: Checkout, tmp_path: pathlib.Path, library: str
) -> None:
    """Guard against a daemon that ends at its start, on every VM.

    The folder of the libraries counted as fresh when it was newer than the
    requirements, also if it came from another kind of machine or a part of it
    was missing.
    """
    checkout = copy_built(built, tmp_path)
    package = checkout.path / LIBRARIES / library / "__init__.py"
    package.write_text("raise ImportError('wheel of another processor')\n")
    assert not checkout.can_start_daemon()
    result = checkout.build()
    assert result.returncode == 0, result.stderr
    assert checkout.can_start_daemon()


def test_interrupted_build_is_repeated(tmp_path: pathlib.Path) -> None:
    """Guard against a folder without libraries that counts as fresh."""
    checkout = make_checkout(tmp_path / "checkout")
    (checkout.path / LIBRARIES).mkdir(parents=True)
    result = checkout.build()
    assert result.returncode == 0, result.stderr
    assert checkout.can_start_daemon()


def test_build_without_libraries_fails(tmp_path: pathlib.Path) -> None:
    """Guard against a build that succeeds although its install failed.

    Only the result of the last command counted, which copied the daemon.
    """
    checkout = make_checkout(tmp_path / "checkout")
    libraries = checkout.path / LIBRARIES
    libraries.mkdir(parents=True)
    os.utime(libraries, (0, 0))
    result = checkout.build(PIP_NO_INDEX="1", PIP_FIND_LINKS="")
    assert result.returncode != 0
    assert not checkout.can_start_daemon()

"""Fixtures of the tests of the deploy file."""

import pytest

from testing.deploy.checkout import Checkout, make_checkout


@pytest.fixture(scope="session")
def built(tmp_path_factory: pytest.TempPathFactory) -> Checkout:
    """Return a checkout that has been built; tests must not change it."""
    checkout = make_checkout(tmp_path_factory.mktemp("built") / "checkout")
    result = checkout.build()
    assert result.returncode == 0, result.stderr
    return checkout

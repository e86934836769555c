"""Guard against daemons whose document differs from the one committed."""

from hypothesis import given
from returns.result import Failure, Success

from eelgrassweir.config.delta import apply_delta, make_delta
from eelgrassweir.config.document import (
    ConfigDocument,
    dump_document,
    parse_document,
)
from testing.config.documents import documents, make_document


@given(documents(version=3), documents(version=4))
def test_delta_gives_the_whole_document(
    old: ConfigDocument, new: ConfigDocument
) -> None:
    """Guard against a delta that leaves out a difference."""
    assert apply_delta(old, make_delta(old, new)) == Success(new)


@given(documents())
def test_document_is_unchanged_by_json(document: ConfigDocument) -> None:
    """Guard against values lost or changed between daemons."""
    assert parse_document(dump_document(document)) == Success(document)


def test_delta_against_another_version_is_an_error() -> None:
    """Guard against a delta applied to a wrong base."""
    delta = make_delta(make_document(2), make_document(3))
    result = apply_delta(make_document(1), delta)
    assert isinstance(result, Failure)
    assert "base is 2" in result.failure().reason


def test_damaged_delta_is_an_error() -> None:
    """Guard against an exception or a partial document."""
    delta = make_delta(make_document(2), make_document(3))
    assert isinstance(apply_delta(make_document(2), delta[:-1]), Failure)
    assert isinstance(apply_delta(make_document(2), b"[]"), Failure)

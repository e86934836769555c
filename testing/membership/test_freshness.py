"""Guard against acting on an old version, and against refusing needlessly."""

import attrs

from eelgrassweir.membership.freshness import (
    Freshness,
    PeerReport,
    latest_outage_proof_ms,
    latest_peer_proof_ms,
)

DOMAINS = ("bilbao", "santander", "oviedo", "donostia")
NOW_MS = 100_000.0
LIMIT_MS = 3_000.0


def word(domain: str, **changes: object) -> PeerReport:
    """Return the word of a relay that does not reach the store."""
    silent = PeerReport(
        failure_domain=domain,
        store_reached=False,
        config_version=7,
        as_of_ms=NOW_MS - 500,
    )
    return attrs.evolve(silent, **changes)  # type: ignore[arg-type]


def judge(*words: PeerReport) -> float | None:
    """Return the judgement of a relay in bilbao that has version 7."""
    return latest_outage_proof_ms(
        {str(number): entry for number, entry in enumerate(words)},
        own_domain="bilbao",
        own_version=7,
        domains=DOMAINS,
        now_ms=NOW_MS,
        max_report_age_ms=LIMIT_MS,
    )


def test_majority_of_domains_without_the_store_is_an_outage() -> None:
    assert judge(word("santander"), word("oviedo")) == NOW_MS - 500


def test_half_of_the_domains_is_no_majority() -> None:
    assert judge(word("santander")) is None
    assert judge(word("santander"), word("santander"), word("bilbao")) is None


def test_old_word_and_unlisted_domain_do_not_count() -> None:
    old = word("oviedo", as_of_ms=NOW_MS - LIMIT_MS - 1)
    assert judge(word("santander"), old) is None
    assert judge(word("santander"), word("elsewhere")) is None


def test_one_relay_that_reaches_the_store_or_is_ahead_rules_it_out() -> None:
    words = [word("santander"), word("oviedo"), word("donostia")]
    assert judge(*words) is not None
    assert judge(*words, word("oviedo", store_reached=True)) is None
    assert judge(*words, word("oviedo", config_version=8)) is None


def test_word_of_a_peer_that_reaches_the_store_counts_for_the_same_version() -> None:
    def ask(*words: PeerReport) -> float | None:
        return latest_peer_proof_ms(
            {str(number): entry for number, entry in enumerate(words)},
            own_version=7,
            now_ms=NOW_MS,
            max_report_age_ms=LIMIT_MS,
        )

    assert ask(word("oviedo")) is None
    assert ask(word("oviedo", store_reached=True)) == NOW_MS - 500
    ahead = word("oviedo", store_reached=True, config_version=8)
    assert ask(word("santander", store_reached=True), ahead) is None


def test_age_is_of_the_newest_word_and_is_none_without_any() -> None:
    freshness = Freshness()
    assert freshness.age_ms(NOW_MS) is None
    assert not freshness.is_fresh(NOW_MS, 10_000)
    freshness.record(NOW_MS - 9_000)
    freshness.record(NOW_MS - 9_500)
    assert freshness.age_ms(NOW_MS) == 9_000
    assert freshness.is_fresh(NOW_MS + 1_000, 10_000)
    assert not freshness.is_fresh(NOW_MS + 1_001, 10_000)

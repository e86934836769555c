"""Guard against use of a stale configuration and against needless refusals."""

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


def make_report(domain: str, **changes: object) -> PeerReport:
    """Return the report of a relay that does not reach the store."""
    report = PeerReport(
        failure_domain=domain,
        store_reached=False,
        config_version=7,
        as_of_ms=NOW_MS - 500,
    )
    return attrs.evolve(report, **changes)  # type: ignore[arg-type]


def judge_outage(*reports: PeerReport) -> float | None:
    """Return the outage proof of a relay in bilbao that has version 7."""
    return latest_outage_proof_ms(
        {str(number): entry for number, entry in enumerate(reports)},
        own_domain="bilbao",
        own_version=7,
        domains=DOMAINS,
        now_ms=NOW_MS,
        max_report_age_ms=LIMIT_MS,
    )


def test_majority_of_domains_without_the_store_is_an_outage() -> None:
    """Guard against requests refused during an outage of the store."""
    assert judge_outage(make_report("santander"), make_report("oviedo")) == NOW_MS - 500


def test_half_of_the_domains_is_no_majority() -> None:
    """Guard against a partition taken for an outage of the store."""
    assert judge_outage(make_report("santander")) is None
    assert (
        judge_outage(
            make_report("santander"), make_report("santander"), make_report("bilbao")
        )
        is None
    )


def test_old_report_and_unlisted_domain_do_not_count() -> None:
    """Guard against a majority made of invalid reports."""
    old = make_report("oviedo", as_of_ms=NOW_MS - LIMIT_MS - 1)
    assert judge_outage(make_report("santander"), old) is None
    assert judge_outage(make_report("santander"), make_report("elsewhere")) is None


def test_relay_with_store_access_or_newer_version_rules_out_an_outage() -> None:
    """Guard against keeping an old version although a newer one exists."""
    reports = [make_report("santander"), make_report("oviedo"), make_report("donostia")]
    assert judge_outage(*reports) is not None
    assert judge_outage(*reports, make_report("oviedo", store_reached=True)) is None
    assert judge_outage(*reports, make_report("oviedo", config_version=8)) is None


def test_peer_with_store_access_proves_its_own_version_only() -> None:
    """Guard against a proof by a peer without the store or the version."""

    def find_proof(*reports: PeerReport) -> float | None:
        return latest_peer_proof_ms(
            {str(number): entry for number, entry in enumerate(reports)},
            own_version=7,
            now_ms=NOW_MS,
            max_report_age_ms=LIMIT_MS,
        )

    assert find_proof(make_report("oviedo")) is None
    assert find_proof(make_report("oviedo", store_reached=True)) == NOW_MS - 500
    ahead = make_report("oviedo", store_reached=True, config_version=8)
    assert find_proof(make_report("santander", store_reached=True), ahead) is None


def test_age_is_that_of_the_latest_proof_or_none() -> None:
    """Guard against a proof that is replaced by an older one."""
    freshness = Freshness()
    assert freshness.age_ms(NOW_MS) is None
    assert not freshness.is_fresh(NOW_MS, 10_000)
    freshness.record(NOW_MS - 9_000)
    freshness.record(NOW_MS - 9_500)
    assert freshness.age_ms(NOW_MS) == 9_000
    assert freshness.is_fresh(NOW_MS + 1_000, 10_000)
    assert not freshness.is_fresh(NOW_MS + 1_001, 10_000)

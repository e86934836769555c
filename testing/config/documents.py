"""Documents for the tests, built by hand and by hypothesis."""

from hypothesis import strategies as st

from eelgrassweir.config.document import (
    ConfigDocument,
    Key,
    Route,
    Stop,
    Team,
    hash_key,
)

TEAMS = ("alfa", "bravo", "charlie")
VMS = ("vm-1", "vm-2", "vm-3")
PREFIXES = ("/", "/a", "/a/b", "/c")


def make_route(name: str, prefix: str, **changes: object) -> Route:
    """Return a route with common values, changed as told."""
    values: dict[str, object] = {
        "name": name,
        "path_prefix": prefix,
        "service": "fichero",
        "priority": 1,
        "idempotent": True,
        "is_open": False,
        "attempt_timeout_ms": 500,
        "deadline_ms": 2_000,
        **changes,
    }
    return Route(**values)  # type: ignore[arg-type]


def make_document(version: int = 1) -> ConfigDocument:
    """Return a small valid document."""
    digest = hash_key("a-key")
    return ConfigDocument(
        version=version,
        teams={"alfa": Team(name="alfa", rate_per_s=100.0, burst_calls=50)},
        keys={digest: Key(key_hash=digest, key_id="k1", team="alfa")},
        routes=(make_route("all", "/"),),
        failure_domains=("bilbao", "santander"),
        stops={},
        change_ids=("c1",),
    )


@st.composite
def documents(draw: st.DrawFn, version: int = 1) -> ConfigDocument:
    """Draw a valid document of the given version."""
    names = draw(st.sets(st.sampled_from(TEAMS)))
    teams = {
        name: Team(
            name=name,
            rate_per_s=draw(st.floats(0, 1e6)),
            burst_calls=draw(st.integers(0, 10**6)),
        )
        for name in names
    }
    owners = draw(st.lists(st.sampled_from(sorted(names)), max_size=5)) if names else []
    keys = {}
    for number, team in enumerate(owners):
        digest = hash_key(f"{number}")
        keys[digest] = Key(key_hash=digest, key_id=f"k{number}", team=team)
    prefixes = draw(st.sets(st.sampled_from(PREFIXES)))
    routes = tuple(
        make_route(
            f"r{number}",
            prefix,
            priority=draw(st.integers(0, 2)),
            idempotent=draw(st.booleans()),
            methods=draw(st.sampled_from([(), ("GET",), ("GET", "POST")])),
        )
        for number, prefix in enumerate(sorted(prefixes))
    )
    vms = draw(st.sets(st.sampled_from(VMS)))
    ids = draw(st.lists(st.integers(0, 200), max_size=64, unique=True))
    return ConfigDocument(
        version=version,
        teams=teams,
        keys=keys,
        routes=routes,
        failure_domains=tuple(
            draw(st.lists(st.sampled_from(["d1", "d2", "d3"]), unique=True))
        ),
        stops={vm: Stop(vm=vm, start_wall_ms=draw(st.integers(0, 9**9))) for vm in vms},
        change_ids=tuple(f"c{number}" for number in ids),
    )

"""Guard against store calls that hang, misreport a write or lose updates."""

import socket
import threading
import time
from collections.abc import Iterator

import pytest
from returns.result import Failure, Success

from eelgrassweir.store.client import StoreClient, StoreError, Value
from testing.stand_ins.store_process import StoreProcess

TIMEOUT_MS = 300


@pytest.fixture
def client(store: StoreProcess) -> Iterator[StoreClient]:
    client = StoreClient([store.url], timeout_ms=TIMEOUT_MS)
    yield client
    client.close()


def test_compare_and_swap_refuses_another_revision(client: StoreClient) -> None:
    """Guard against updates lost to a concurrent writer."""
    first = client.put("a/x", "1", expect_revision=0).unwrap()
    assert first is not None
    assert client.put("a/x", "2", expect_revision=0) == Success(None)
    assert client.delete("a/x", expect_revision=first + 1) == Success(False)
    assert client.get("a/x") == Success(Value(value="1", revision=first))
    assert client.list("a/") == Success({"a/x": Value(value="1", revision=first)})
    assert client.delete("a/x", expect_revision=first) == Success(True)
    assert client.get("a/x") == Success(None)


def test_one_of_many_racing_writes_is_applied(client: StoreClient) -> None:
    """Guard against two holders of one key."""
    results: list[int | None] = []
    threads = [
        threading.Thread(
            target=lambda: results.append(
                client.put("race", "v", expect_revision=0).unwrap()
            )
        )
        for _ in range(16)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len([found for found in results if found is not None]) == 1


def test_ended_lease_removes_its_keys_and_ends_a_watch(
    client: StoreClient, store: StoreProcess
) -> None:
    """Guard against keys that outlive their lease unnoticed."""
    lease_id = client.grant_lease(60_000).unwrap()
    revision = client.put("l/a", "v", expect_revision=0, lease_id=lease_id).unwrap()
    assert revision is not None
    assert client.renew_lease(lease_id) == Success(True)
    store.set_faults(end_leases=True)
    newest = client.watch("l/", after_revision=revision, wait_ms=5_000).unwrap()
    assert newest > revision
    assert client.get("l/a") == Success(None)
    assert client.renew_lease(lease_id) == Success(False)
    rejected = client.put("l/a", "v", expect_revision=0, lease_id=lease_id)
    assert isinstance(rejected, Failure)
    assert "was not applied" in rejected.failure().reason


def test_lease_that_is_not_renewed_expires(client: StoreClient) -> None:
    """Guard against keys of a process that has stopped."""
    lease_id = client.grant_lease(50).unwrap()
    assert client.put("l/a", "v", expect_revision=0, lease_id=lease_id).unwrap()
    revision = client.get("l/a").unwrap()
    after = 1 if revision is None else revision.revision
    assert client.watch("l/", after_revision=after, wait_ms=5_000).unwrap() > after
    assert client.get("l/a") == Success(None)


def test_many_waiting_watches_do_not_block_other_calls(
    client: StoreClient, store: StoreProcess
) -> None:
    """Guard against a connection pool exhausted by watches."""
    results: list[int] = []
    threads = [
        threading.Thread(
            target=lambda: results.append(
                client.watch("w/", after_revision=0, wait_ms=10_000).unwrap()
            )
        )
        for _ in range(100)
    ]
    for thread in threads:
        thread.start()
    end_s = time.monotonic() + 10
    while store.get_counts().get("watch", 0) < 100 and time.monotonic() < end_s:
        time.sleep(0.01)
    revision = client.put("w/x", "1", expect_revision=0).unwrap()
    for thread in threads:
        thread.join()
    assert results == [revision] * 100


def test_write_with_a_lost_response_is_reported_as_maybe_applied(
    client: StoreClient, store: StoreProcess
) -> None:
    """Guard against an applied write taken for a failed one."""
    store.set_faults(lose_answers=1)
    error = client.put("k", "v", expect_revision=0).failure()
    assert isinstance(error, StoreError)
    assert error.may_be_applied
    assert "may have been applied" in error.reason
    found = client.get("k").unwrap()
    assert found is not None
    assert found.value == "v"


def test_write_that_reached_no_store_is_reported_as_not_applied() -> None:
    """Guard against needless uncertainty after a failed connection."""
    # Port 1 of the loopback address has no listener.
    client = StoreClient(["http://127.0.0.1:1"], timeout_ms=TIMEOUT_MS)
    error = client.put("k", "v", expect_revision=0).failure()
    assert isinstance(error, StoreError)
    assert not error.may_be_applied
    assert "was not applied" in error.reason


def test_next_url_is_used_and_preferred(store: StoreProcess) -> None:
    """Guard against calls that fail while another server responds."""
    client = StoreClient(["http://127.0.0.1:1", store.url], timeout_ms=TIMEOUT_MS)
    assert client.put("k", "v", expect_revision=0).unwrap()
    assert client.get("k").unwrap() is not None


def test_silent_connection_times_out_and_a_new_one_works(
    client: StoreClient, store: StoreProcess
) -> None:
    """Guard against a call that hangs on a connection without responses."""
    assert client.put("k", "v", expect_revision=0).unwrap()
    store.set_faults(silence_connections=True)
    start_s = time.monotonic()
    assert isinstance(client.get("k"), Failure)
    # Ten times the timeout allows for a busy machine; a hang would not end.
    assert time.monotonic() - start_s < 10 * TIMEOUT_MS / 1000
    found = client.get("k").unwrap()
    assert found is not None


@pytest.mark.parametrize("down", ["closed", "silent", "error"])
def test_store_that_is_down_gives_an_error(
    client: StoreClient, store: StoreProcess, down: str
) -> None:
    """Guard against a store that stays unreachable after it has recovered."""
    store.set_faults(down=down)
    assert isinstance(client.get("k"), Failure)
    store.set_faults(down="")
    assert client.get("k") == Success(None)


def test_stale_read_returns_the_previous_value(
    client: StoreClient, store: StoreProcess
) -> None:
    """Guard against a stand-in whose stale reads test nothing."""
    first = client.put("k", "1", expect_revision=0).unwrap()
    assert first is not None
    assert client.put("k", "2", expect_revision=first).unwrap()
    store.set_faults(stale_reads=1)
    assert client.get("k") == Success(Value(value="1", revision=first))
    assert client.get("k").unwrap() != Value(value="1", revision=first)


def test_watch_without_notifications_returns_after_its_wait(
    client: StoreClient, store: StoreProcess
) -> None:
    """Guard against changes missed when the store notifies nobody."""
    store.set_faults(watches_stopped=True)
    revision = client.put("k", "1", expect_revision=0).unwrap()
    start_s = time.monotonic()
    assert client.watch("k", after_revision=0, wait_ms=200) == Success(revision)
    assert time.monotonic() - start_s >= 0.2


def respond_once(listener: socket.socket, parts: list[bytes], pause_s: float) -> None:
    """Respond to one request in parts; stop when the client disconnects."""
    connection, _ = listener.accept()
    with connection:
        connection.recv(65_536)
        for part in parts:
            try:
                connection.sendall(part)
            except OSError:
                return
            time.sleep(pause_s)


@pytest.mark.parametrize(
    ("parts", "pause_s", "is_found"),
    [
        (
            [b"Transfer-Encoding: chunked\r\n\r\n1d\r\n", b'{"value": "v", ']
            + [b'"revision": 1}\r\n0\r\n\r\n'],
            0.0,
            True,
        ),
        ([b"Content-Length: 900\r\n\r\n"] + [b" "] * 900, TIMEOUT_MS / 3_000, False),
        ([b"Content-Length: 90\r\n\r\n{}"], 0.0, False),
    ],
    ids=["chunked", "trickling", "truncated"],
)
def test_incomplete_or_slow_response_is_an_error(
    parts: list[bytes], pause_s: float, is_found: bool
) -> None:
    """Guard against a truncated value and a response that never ends."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        parts = [b"HTTP/1.1 200 OK\r\n", *parts]
        thread = threading.Thread(target=respond_once, args=(listener, parts, pause_s))
        thread.start()
        port = listener.getsockname()[1]
        client = StoreClient([f"http://127.0.0.1:{port}"], timeout_ms=TIMEOUT_MS)
        start_s = time.monotonic()
        result = client.get("k")
        # The whole response sent in small pieces would take 90 s.
        assert time.monotonic() - start_s < 10 * TIMEOUT_MS / 1000
        client.close()
        thread.join()
    assert isinstance(result, Success) == is_found, result

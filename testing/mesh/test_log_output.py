"""Guard against logs that block the daemon, grow or hide lost lines."""

import json
import os
import socket

from eelgrassweir.mesh.log_output import BUFFER_LIMIT_BYTES, MAX_LINES_PER_S, LogOutput


def read_lines(descriptor: int) -> list[dict[str, object]]:
    """Return the log lines written to the pipe."""
    lines = os.read(descriptor, 10_000_000).decode().splitlines()
    return [json.loads(line) for line in lines]


def test_lines_beyond_the_rate_limit_are_counted() -> None:
    """Guard against a log volume that grows with the load."""
    read, write = os.pipe()
    output = LogOutput(write)
    for number in range(MAX_LINES_PER_S + 25):
        output.write({"message_type": "request:refused", "request": number})
    output.write({"message_type": "config:in_force"})
    output.flush(2_000.0)
    lines = read_lines(read)
    kinds = [line["message_type"] for line in lines]
    assert kinds.count("request:refused") == MAX_LINES_PER_S
    assert kinds.count("config:in_force") == 1
    (summary,) = [line for line in lines if line["message_type"] == "log:left_out"]
    assert summary["lines"] == {"request:refused": 25}
    output.write({"message_type": "request:refused"})
    output.flush(2_100.0)
    assert len(read_lines(read)) == 1


def test_can_log_counts_the_lines_that_are_not_composed() -> None:
    """Guard against the cost of composing lines that are then omitted."""
    read, write = os.pipe()
    output = LogOutput(write)
    made = 0
    for _ in range(MAX_LINES_PER_S + 10):
        if output.can_log("request:answered"):
            made += 1
            output.write({"message_type": "request:answered"})
    output.flush(2_000.0)
    assert made == MAX_LINES_PER_S
    assert read_lines(read)[-1]["lines"] == {"request:answered": 10}


def test_slow_reader_does_not_block_the_writer() -> None:
    """Guard against a daemon that blocks while its log is not read."""
    read, write = os.pipe()
    os.set_blocking(write, False)
    output = LogOutput(write)
    line = {"message_type": "member:changed", "text": "x" * 1_000}
    for _ in range(BUFFER_LIMIT_BYTES // 500):
        output.write(line)
        output.flush(0.0)
    assert output.dropped_lines > 0
    first = os.read(read, 100_000)
    output.flush(0.0)
    rest = os.read(read, 100_000)
    text = (first + rest).decode()
    for written in text.splitlines()[:-1]:
        assert json.loads(written) == line


def test_lines_of_one_flush_are_one_write() -> None:
    """Guard against a system call for each line."""
    reader, writer = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    with reader, writer:
        output = LogOutput(writer.fileno())
        for number in range(3):
            output.write({"message_type": "daemon:start", "number": number})
        output.flush(0.0)
        assert reader.recv(10_000).count(b"\n") == 3


def test_closed_output_raises_no_error() -> None:
    """Guard against a daemon that exits when its log reader has exited."""
    read, write = os.pipe()
    os.close(read)
    output = LogOutput(write)
    output.write({"message_type": "daemon:start"})
    output.flush(0.0)
    assert output.dropped_lines == 1


def test_lines_of_failures_have_a_limit_of_their_own() -> None:
    """Guard against a failure that no line names because of successes."""
    read, write = os.pipe()
    output = LogOutput(write, "vm-1")
    for _ in range(MAX_LINES_PER_S + 5):
        output.write({"message_type": "target:ran", "status": 200})
    assert not output.can_log("target:ran")
    assert output.can_log("target:ran", is_failure=True)
    output.write({"message_type": "target:ran", "status": 504, "request": "r"})
    output.flush(2_000.0)
    lines = read_lines(read)
    assert {line["daemon"] for line in lines} == {"vm-1"}
    assert [line["status"] for line in lines if "request" in line] == [504]
    assert lines[-1]["lines"] == {"target:ran": 6}

"""Guard against logs that block the daemon, grow or hide losses."""

import json
import os

from eelgrassweir.mesh.log_output import BUFFER_LIMIT_BYTES, MAX_LINES_PER_S, LogOutput


def read_lines(descriptor: int) -> list[dict[str, object]]:
    """Return the lines that were written."""
    lines = os.read(descriptor, 10_000_000).decode().splitlines()
    return [json.loads(line) for line in lines]


def test_flood_of_one_type_is_counted() -> None:
    """Guard against a volume that follows the load."""
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


def test_lines_that_would_be_left_out_need_not_be_made() -> None:
    """Guard against work for lines of plainly served requests in a flood."""
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


def test_reader_that_does_not_read_blocks_nothing() -> None:
    """Guard against a daemon that waits for whoever reads its logs."""
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


def test_closed_output_is_no_fault() -> None:
    """Guard against a daemon that ends since nobody reads its logs."""
    read, write = os.pipe()
    os.close(read)
    output = LogOutput(write)
    output.write({"message_type": "daemon:start"})
    output.flush(0.0)
    assert output.dropped_lines == 1

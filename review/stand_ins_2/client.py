"""Stand-in for a client: one kept connection to the outbound address."""

import asyncio
import secrets

from review.stand_ins_2.http1 import Message, encode, read_message
from review.stand_ins_2.record import Record

HOST = "hulo84.example"
KEY = "6wsjnbanfqasnmgkcuyj"
CONNECT_TIMEOUT_S = 1.0


class Client:
    """Send requests one after another over a kept connection."""

    def __init__(self, record: Record, port: int, name: str) -> None:
        self._record = record
        self._port = port
        self._name = name
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        method: str,
        path: str,
        *,
        deadline_ms: int = 2_000,
        key: str | None = KEY,
        body: bytes = b"",
    ) -> tuple[str, Message | None]:
        """Return the id of a new request and its answer, if there is one."""
        request_id = secrets.token_hex(8)
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Milliseconds": str(deadline_ms),
        }
        if key is not None:
            headers["X-Credential"] = key
        if body:
            headers["Content-Length"] = str(len(body))
        answer: Message | None = None
        reason = ""
        try:
            async with asyncio.timeout(deadline_ms / 1e3):
                reader, writer = await self._connect()
                self._record.add(f"{self._name} sends {request_id} {method} {path}")
                writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
                answer = await read_message(reader, has_body=method != "HEAD")
        except (OSError, TimeoutError) as error:
            reason = f"{type(error).__name__}: {error}"
            self.close()
        if answer is None:
            self._record.add(f"{self._name} gets no answer to {request_id} ({reason})")
            return request_id, None
        self._record.add(
            f"{self._name} gets {answer.status} to {request_id},"
            f" id {answer.headers.get('x-request-id', 'none')},"
            f" signature {answer.headers.get('x-response-signature', 'none')}"
        )
        if answer.headers.get("connection") == "close":
            self.close()
        return request_id, answer

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._reader is None or self._writer is None:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._reader, self._writer = await asyncio.open_connection(
                    "127.0.0.1", self._port
                )
        return self._reader, self._writer

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

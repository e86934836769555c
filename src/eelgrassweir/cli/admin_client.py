"""Client of a daemon's admin listener."""

import json
from typing import Any

import attrs
import urllib3

from eelgrassweir.cli.failure import CommandError, ExitStatus

_CONNECT_TIMEOUT_S = 3
# A confirm waits for the store behind the daemon, which may time out there.
_READ_TIMEOUT_S = 20


@attrs.frozen(kw_only=True)
class AdminAnswer:
    """Hold the status and the decoded body of one answer."""

    status: int
    body: Any


class AdminClient:
    """Call the admin listener at ``address`` (HOST:PORT)."""

    def __init__(self, address: str, token: str) -> None:
        self._address = address
        self._headers = {"Content-Type": "application/json"}
        if token:
            self._headers["Authorization"] = f"Bearer {token}"
        self._http = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(connect=_CONNECT_TIMEOUT_S, read=_READ_TIMEOUT_S),
        )

    def get(self, path: str) -> Any:
        """Return the decoded body of a successful GET."""
        answer = self.call("GET", path)
        if answer.status != 200:
            raise _failure(self._address, path, answer)
        return answer.body

    def post(self, path: str, value: Any, expected: tuple[int, ...]) -> AdminAnswer:
        """Return the answer to a POST if its status is an expected one."""
        answer = self.call("POST", path, json.dumps(value).encode())
        if answer.status not in expected or "error" in answer.body:
            raise _failure(self._address, path, answer)
        return answer

    def call(self, method: str, path: str, body: bytes | None = None) -> AdminAnswer:
        """Make one call; raise CommandError if the daemon does not answer."""
        try:
            answer = self._http.request(
                method,
                f"http://{self._address}{path}",
                body=body,
                headers=self._headers,
            )
            return AdminAnswer(status=answer.status, body=json.loads(answer.data))
        except urllib3.exceptions.LocationValueError:
            reason = f"--admin is {self._address}; allowed: HOST:PORT"
            raise CommandError(ExitStatus.USAGE, reason) from None
        except (urllib3.exceptions.HTTPError, OSError) as error:
            reason = f"{path}: no answer from the daemon at {self._address} ({error})"
            advice = "Name another daemon with --admin HOST:PORT."
            if path == "/confirm":
                advice += (
                    " The change may have been accepted; confirm the same plan file "
                    "again, it takes effect at most once."
                )
            raise CommandError(ExitStatus.NOT_REACHABLE, reason, advice) from None
        except ValueError:
            reason = f"{path}: {self._address} answered something other than JSON"
            advice = "Check that --admin names the admin listener of a daemon."
            raise CommandError(ExitStatus.FAILED, reason, advice) from None


def _failure(address: str, path: str, answer: AdminAnswer) -> CommandError:
    error = answer.body.get("error") if isinstance(answer.body, dict) else None
    detail = error.get("reason", "") if isinstance(error, dict) else ""
    reason = f"{path} at {address}: {detail or f'status {answer.status}'}"
    if answer.status == 401:
        advice = "Pass the file with the admin token as --token-file FILE."
        return CommandError(ExitStatus.REFUSED, reason, advice)
    if answer.status == 400:
        return CommandError(ExitStatus.USAGE, reason, "Correct the file and repeat.")
    if answer.status == 503:
        advice = "Wait a few seconds, or name another daemon with --admin HOST:PORT."
        return CommandError(ExitStatus.NOT_REACHABLE, reason, advice)
    return CommandError(ExitStatus.FAILED, reason)

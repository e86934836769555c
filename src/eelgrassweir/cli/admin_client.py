"""HTTP client of a daemon's admin listener, for the commands."""

import json
from typing import Any

import attrs
import urllib3

from eelgrassweir.cli.failure import CommandError, ExitStatus

_CONNECT_TIMEOUT_S = 3
# A confirm waits for the daemon's store calls, which may time out.
_READ_TIMEOUT_S = 20


@attrs.frozen(kw_only=True)
class AdminResponse:
    """Hold the HTTP status and the decoded JSON body of one response."""

    status: int
    body: Any


class AdminClient:
    """Call the admin listener at ``address`` (HOST:PORT).

    A non-empty ``token`` is sent as a bearer token.
    """

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
        """Return the decoded body of a GET.

        :raises CommandError: if the status is not 200 or the call fails.
        """
        answer = self.call("GET", path)
        if answer.status != 200:
            raise _make_error(self._address, path, answer)
        return answer.body

    def post(self, path: str, value: Any, expected: tuple[int, ...]) -> AdminResponse:
        """Send ``value`` as JSON and return the response.

        :raises CommandError: if the status is not in ``expected``, the body
            holds an error, or the call fails.
        """
        answer = self.call("POST", path, json.dumps(value).encode())
        if answer.status not in expected or "error" in answer.body:
            raise _make_error(self._address, path, answer)
        return answer

    def call(self, method: str, path: str, body: bytes | None = None) -> AdminResponse:
        """Send one request and return the response, whatever its status.

        :raises CommandError: if the address is invalid, the daemon does not
            answer, or the body is not JSON.
        """
        try:
            answer = self._http.request(
                method,
                f"http://{self._address}{path}",
                body=body,
                headers=self._headers,
            )
            return AdminResponse(status=answer.status, body=json.loads(answer.data))
        except urllib3.exceptions.LocationValueError:
            reason = f"--admin is {self._address}; allowed: HOST:PORT"
            raise CommandError(ExitStatus.USAGE, reason) from None
        except (urllib3.exceptions.HTTPError, OSError) as error:
            reason = f"{path}: the daemon at {self._address} did not answer ({error})"
            advice = "Name another daemon with --admin HOST:PORT."
            if path == "/confirm":
                advice += (
                    " The change may have been accepted; confirm the same plan file "
                    "again: it takes effect at most once."
                )
            raise CommandError(ExitStatus.UNREACHABLE, reason, advice) from None
        except ValueError:
            reason = f"{path}: the response of {self._address} is not JSON"
            advice = "Check that --admin names the admin listener of a daemon."
            raise CommandError(ExitStatus.FAILED, reason, advice) from None


def _make_error(address: str, path: str, answer: AdminResponse) -> CommandError:
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
        return CommandError(ExitStatus.UNREACHABLE, reason, advice)
    return CommandError(ExitStatus.FAILED, reason)

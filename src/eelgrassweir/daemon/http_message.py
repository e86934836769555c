"""HTTP/1.1 messages and their encoding.

Used by the HTTP client and server, and by the services of the request path.
"""

import http

import attrs

Headers = tuple[tuple[str, str], ...]
# A long body is not converted, since that would copy it.
Body = bytes | bytearray

# Bodies up to this size are sent together with their heads.
INLINE_BODY_BYTES = 65_536

# Hop-by-hop fields of RFC 9110 section 7.6.1, and the length, which is set
# for each message.
HOP_BY_HOP = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


REASON_PHRASES = {status.value: status.phrase for status in http.HTTPStatus}


@attrs.frozen
class HttpRequest:
    """Complete HTTP request.

    ``peer`` is the address of its sender, and ``waited_ms`` the time for which
    a server held it before it called its handler. If ``has_waited_too_long``,
    the daemon is behind, and a root request should be refused.
    """

    method: str
    path: str
    headers: Headers
    body: Body
    peer: str = ""
    waited_ms: float = 0.0
    has_waited_too_long: bool = False


@attrs.frozen
class HttpResponse:
    """Complete HTTP response."""

    status: int
    headers: Headers
    body: bytes


def find_header(headers: Headers, name: str) -> str | None:
    """Return the first value of a header field, or None.

    :param name: name of the field in lower case.
    """
    for field, value in headers:
        if field.lower() == name:
            return value
    return None


def split_absolute_form(target: str, headers: Headers) -> tuple[str, Headers]:
    """Return path and header fields of a request target with a host.

    The host of an absolute form replaces that of the Host field (RFC 9112
    section 3.2.2). A target in another form is returned as it is.
    """
    scheme, separator, rest = target.partition("://")
    if not separator or scheme.lower() not in ("http", "https"):
        return target, headers
    end = min((rest.find(mark) for mark in "/?#" if mark in rest), default=len(rest))
    host, path = rest[:end], rest[end:]
    if not path.startswith("/"):
        path = "/" + path
    others = tuple(field for field in headers if field[0].lower() != "host")
    return path, (("Host", host), *others)


def encode_response(response: HttpResponse, *, is_head: bool, close: bool) -> bytes:
    """Return the bytes of a response.

    :param is_head: whether it answers a HEAD request and has no body.
    :param close: whether the connection closes after the response.
    """
    phrase = REASON_PHRASES.get(response.status, "")
    lines = [f"HTTP/1.1 {response.status} {phrase}"]
    lines += [
        f"{name}: {value}"
        for name, value in response.headers
        if name.lower() not in HOP_BY_HOP
    ]
    if response.status not in (204, 304):
        lines.append(f"Content-Length: {len(response.body)}")
    if close:
        lines.append("Connection: close")
    head = "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n"
    if is_head or response.status in (204, 304):
        return head
    return head + response.body


def encode_request(request: HttpRequest, host: str) -> bytes:
    """Return the bytes of a request, with ``host`` as its Host field.

    A body above INLINE_BODY_BYTES is left out.
    """
    lines = [f"{request.method} {request.path} HTTP/1.1", f"Host: {host}"]
    lines += [
        f"{name}: {value}"
        for name, value in request.headers
        if name.lower() not in HOP_BY_HOP and name.lower() != "host"
    ]
    lines.append(f"Content-Length: {len(request.body)}")
    head = "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n"
    if len(request.body) > INLINE_BODY_BYTES:
        return head
    return head + request.body

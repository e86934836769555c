"""Convert requests and results to and from the messages of a link.

Used by ``dispatch`` at the entry and by ``app`` at the target.
"""

from eelgrassweir.daemon.http_message import Body, HttpRequest, HttpResponse
from eelgrassweir.daemon.link_client import Reply
from eelgrassweir.mesh.target import TargetResult
from eelgrassweir.proto import link_pb2
from eelgrassweir.requests.refusal import Refusal


def encode_request(
    request: HttpRequest, context: link_pb2.CallContext
) -> link_pb2.Request:
    """Return the link message of a request, without its body."""
    message = link_pb2.Request(
        context=context, method=request.method, path=request.path
    )
    for name, value in request.headers:
        message.headers.add(name=name, value=value)
    return message


def decode_request(message: link_pb2.Request, body: Body) -> HttpRequest:
    """Return the request in a link message, with its body."""
    headers = tuple((header.name, header.value) for header in message.headers)
    return HttpRequest(message.method, message.path, headers, body)


def encode_result(result: TargetResult, load: link_pb2.Load) -> Reply:
    """Return the link message of a result, with the target's load."""
    answer = result.result
    if isinstance(answer, Refusal):
        return link_pb2.Refusal(
            code=answer.code,
            not_run=answer.not_run,
            reason=answer.reason,
            step=answer.step,
            peer=answer.peer,
            retry_after_ms=answer.retry_after_ms,
            load=load,
            reached_backend=result.reached_backend,
        )
    message = link_pb2.Response(status=answer.status, body=answer.body, load=load)
    for name, value in answer.headers:
        message.headers.add(name=name, value=value)
    return message


def decode_result(message: Reply) -> TargetResult:
    """Return the result in a link message."""
    if isinstance(message, link_pb2.Refusal):
        refusal = Refusal(
            code=message.code,
            not_run=message.not_run,
            reason=message.reason,
            step=message.step,
            peer=message.peer,
            retry_after_ms=message.retry_after_ms,
        )
        return TargetResult(refusal, message.reached_backend)
    headers = tuple((header.name, header.value) for header in message.headers)
    return TargetResult(HttpResponse(message.status, headers, message.body), True)

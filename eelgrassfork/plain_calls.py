"""
eelgrassfork.plain_calls
~~~~~~~~~~~~~~~~~~~~~~~~

Handler of plain calls at ``/services/<service>/<path>``.
"""

from collections.abc import Awaitable, Callable

from .bundle_types import Bundle, Caller
from .claim_records import refusal
from .errors import RequestError
from .http_server import Call
from .idempotent_calls import forward_idempotent
from .limits import LimitExceeded
from .orders import run_order
from .plain_parts import PlainParts, admission_request
from .plain_request import parse_plain_request

__all__ = ('PlainParts', 'plain_handler', 'serve_plain_call')


async def serve_plain_call(
    parts: PlainParts, call: Call, caller: Caller, bundle: Bundle
) -> None:
    """
    Answer a call of a plain service.

    :param parts: dependencies.
    :param call: the request as it arrived.
    :param caller: authenticated sender.
    :param bundle: configuration in force.
    :raises RequestError: if there is no complete answer.
    """
    request = parse_plain_request(call, caller, bundle)
    serve = forward_idempotent if request.is_idempotent else run_order
    try:
        async with parts.admission.slot(admission_request(parts, request)):
            await serve(parts, call, request)
    except LimitExceeded as error:
        raise refusal(
            error.code,
            error.message,
            call.headers_by_name,
            error.retry_after_s,
        ) from None


def plain_handler(
    parts: PlainParts, bundle: Callable[[], Bundle | None]
) -> Callable[[Call, Caller], Awaitable[None]]:
    """
    Create the handler of plain calls for the caller listener.

    :param parts: dependencies.
    :param bundle: returns the configuration in force.
    :returns: handler of a request and its authenticated sender.
    """

    async def serve(call: Call, caller: Caller) -> None:
        in_force = bundle()
        if in_force is None:
            raise RequestError('not_ready', 'no bundle has been loaded yet')
        await serve_plain_call(parts, call, caller, in_force)

    return serve

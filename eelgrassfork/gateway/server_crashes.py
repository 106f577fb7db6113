"""
eelgrassfork.gateway.server_crashes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Detects backend servers that ended while requests were in progress.
"""

from collections.abc import Callable
from typing import Final

import logbook
import trio

from ..http_client import (
    ConnectFailed,
    HttpClient,
    HttpClientError,
    ReceiveTimeout,
)
from .server_survival import SurvivalChecks
from .servers import Server

__all__ = ('CrashDetector',)

_log = logbook.Logger('exchange')

# Routers and servers are a few milliseconds apart.
_CONNECT_TIMEOUT_S: Final = 0.3


class CrashDetector:
    """
    Tells servers that ended from connections that were reset or cut.

    :param client: HTTP client for servers.
    :ivar count_crash: called with the service of each server that ended.
    :ivar survival: tells whether a server that closed a connection still runs.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client
        self.survival = SurvivalChecks(client)
        self.count_crash: Callable[[str], None] = _ignore
        self._checks_by_server: dict[Server, trio.Event] = {}

    async def has_ended(self, server: Server, error: HttpClientError) -> bool:
        """
        Check whether a server ended under a request.

        A server whose entry says that it leaves, or was removed, ends as
        planned.  A server that is silent or cut off is not known to have
        ended.

        :param server: server that the request was sent to.
        :param error: how the attempt ended.
        :returns: whether no process listens at its address any more.
        """
        if not error.sent or isinstance(error, ReceiveTimeout):
            return False
        if server.entry.leaving or server.expires_at is not None:
            return False
        if server.ended_at is None:
            await self._check(server, error)
        return server.ended_at is not None

    async def _check(self, server: Server, error: HttpClientError) -> None:
        running = self._checks_by_server.get(server)
        if running is not None:
            await running.wait()
            return
        if isinstance(error, ConnectFailed):
            refused = error.is_refused
        else:
            refused = await self._is_refused(server)
        if refused:
            server.ended_at = trio.current_time()
            self.count_crash(server.entry.service)
            _log.warning(
                'server ended with requests in progress',
                extra={
                    'server': server.entry.id,
                    'service': server.entry.service,
                    'incarnation': server.entry.incarnation,
                    'in_progress': server.in_flight,
                },
            )

    async def _is_refused(self, server: Server) -> bool:
        done = trio.Event()
        self._checks_by_server[server] = done
        try:
            # The finding counts even if the caller has left.
            with trio.CancelScope(shield=True):
                await self._client.preconnect(
                    server.entry.address, _CONNECT_TIMEOUT_S
                )
        except ConnectFailed as error:
            _log.info(
                'could not connect to a server again',
                extra={'server': server.entry.id, 'why': error.message},
            )
            return error.is_refused
        finally:
            self._checks_by_server.pop(server)
            done.set()
        return False


def _ignore(service: str) -> None:
    """Ignore a crash."""

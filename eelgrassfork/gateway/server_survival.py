"""
eelgrassfork.gateway.server_survival
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Proves that a backend server still runs after it has closed a connection.
"""

import math
from typing import Final

import logbook
import trio

from ..http_client import ConnectFailed, HttpClient
from .servers import Server

__all__ = ('SurvivalChecks',)

_log = logbook.Logger('exchange')

# Covers one retransmission of a lost connection request, after 1 s.
_CONNECT_TIMEOUT_S: Final = 1.2
# A process that ends closes its connections and its listening socket one after
# the other, within much less than this.
_CLOSING_TIME_S: Final = 0.005


class _Check:
    def __init__(self) -> None:
        self.done = trio.Event()
        self.connects_at: float = -math.inf
        self.survived: bool | None = None

    def covers(self, ended_at: float) -> bool:
        """Whether its finding is newer than the end of a connection."""
        return (
            self.survived is not None
            and self.connects_at >= ended_at + _CLOSING_TIME_S
        )


class SurvivalChecks:
    """
    Checks of servers that closed a connection, at most one a server at a time.

    :param client: HTTP client for servers.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client
        self._running_by_server: dict[Server, _Check] = {}

    async def has_survived(self, server: Server) -> bool:
        """
        Check whether a server runs after a connection to it has ended.

        The state of its entry does not count: a server that leaves, or whose
        entry was removed, may end before it has sent its answers.  Only a
        connection that is opened after the end is a proof.

        :param server: server that closed a connection just now.
        :returns: whether a process listens at its address; ``False`` if that
            can't be found out.
        """
        ended_at = trio.current_time()
        while (running := self._running_by_server.get(server)) is not None:
            await running.done.wait()
            if running.covers(ended_at):
                return bool(running.survived)
        check = _Check()
        self._running_by_server[server] = check
        try:
            check.survived = await self._run(check, server)
        finally:
            self._running_by_server.pop(server)
            check.done.set()
        return check.survived

    async def _run(self, check: _Check, server: Server) -> bool:
        address = server.entry.address
        await trio.sleep(_CLOSING_TIME_S)
        check.connects_at = trio.current_time()
        try:
            await self._client.preconnect(address, _CONNECT_TIMEOUT_S)
        except ConnectFailed as error:
            _log.warning(
                'server may have ended before the end of an answer',
                extra={
                    'server': server.entry.id,
                    'incarnation': server.entry.incarnation,
                    'leaving': server.entry.leaving,
                    'removed': server.expires_at is not None,
                    'why': error.message,
                },
            )
            return False
        if server.entry.leaving or server.expires_at is not None:
            # No further request will use the connection.
            await self._client.close_idle(address)
        return True

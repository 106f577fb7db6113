"""
eelgrassfork.routerd
~~~~~~~~~~~~~~~~~~~~

Router daemon of an entry VM; runs until a signal or a drain request.
"""

import signal
import sys
from typing import Final

import trio

from .errors import EelgrassError
from .logs import LogOptions, configure_logging
from .metrics import create_metrics
from .router import Router, RouterEnvironment
from .settings import RouterSettings, load_settings

__all__ = ('main',)

_EXIT_OK: Final = 0
_EXIT_USAGE: Final = 2
# The drain reached its time limit with work still open.
_EXIT_OPEN_WORK: Final = 6
_USAGE: Final = 'usage: eelgrassfork-router SETTINGS\n'


def main() -> int:
    """
    Run a router with the settings file given on the command line.

    :returns: exit code: 0 after a complete drain, 2 for a usage or settings
        error, 6 if work was still open at the time limit of the drain.
    """
    if len(sys.argv) != 2 or sys.argv[1].startswith('-'):
        sys.stderr.write(_USAGE)
        return _EXIT_USAGE
    try:
        settings = load_settings(sys.argv[1])
    except EelgrassError as error:
        sys.stderr.write(f'{error.message}\n')
        return _EXIT_USAGE
    remaining = trio.run(_serve, settings)
    return _EXIT_OPEN_WORK if remaining else _EXIT_OK


async def _serve(settings: RouterSettings) -> dict[str, int]:
    statsd = settings.statsd
    address = f'{statsd.host}:{statsd.port}' if statsd else ''
    router = Router(
        settings, RouterEnvironment(metrics=create_metrics(address))
    )
    options = LogOptions(
        settings.log_format,
        settings.log_level,
        router.holder,
        (settings.peer_key,),
    )
    configure_logging(options, sys.stderr)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_drain_on_signal, router)
        await router.start(nursery)
        remaining = await router.run_drain()
        nursery.cancel_scope.cancel()
    return remaining


async def _drain_on_signal(router: Router) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            router.drain.begin('requested by a signal')


if __name__ == '__main__':
    sys.exit(main())

"""
eelgrassfork.router_daemon
~~~~~~~~~~~~~~~~~~~~~~~~~~

Runs a router until a signal or a drain request.
"""

import sys
from typing import Final

import logbook
import trio

from .errors import EelgrassError
from .logs import LogOptions, configure_logging
from .metrics import create_metrics
from .process_signals import ProcessSignals
from .router import Router, RouterEnvironment
from .settings import RouterSettings, load_settings
from .signal_dispatcher import SignalDispatcher

__all__ = ('run',)

_log = logbook.Logger('router')

_EXIT_OK: Final = 0
_EXIT_FAILURE: Final = 1
_EXIT_USAGE: Final = 2
# The drain reached its time limit with work still open.
_EXIT_OPEN_WORK: Final = 6
_USAGE: Final = 'usage: eelgrassfork-router SETTINGS\n'


def run(signals: ProcessSignals) -> int:
    """
    Run a router with the settings file given on the command line.

    :param signals: signals received by this process.
    :returns: exit code: 0 after a complete drain, 1 after an error that the
        log names, 2 for a usage or settings error, 6 if work was still open
        at the time limit of the drain.
    """
    if len(sys.argv) != 2 or sys.argv[1].startswith('-'):
        sys.stderr.write(_USAGE)
        return _EXIT_USAGE
    try:
        settings = load_settings(sys.argv[1])
    except EelgrassError as error:
        sys.stderr.write(f'{error.message}\n')
        return _EXIT_USAGE
    try:
        remaining = trio.run(_serve, settings, signals)
    except Exception:
        _log.exception('router: ended by an unexpected error')
        return _EXIT_FAILURE
    return _EXIT_OPEN_WORK if remaining else _EXIT_OK


async def _serve(
    settings: RouterSettings, signals: ProcessSignals
) -> dict[str, int]:
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
    dispatcher = SignalDispatcher(signals, _refuse_reload)
    remaining: dict[str, int] = {}
    async with trio.open_nursery() as nursery:
        await dispatcher.start(nursery)
        if dispatcher.is_stopping:
            _log.info('router: stopped before the listeners were opened')
        else:
            await router.start(nursery)
            nursery.start_soon(_drain_on_signal, router, dispatcher)
            remaining = await _run_until_drained(router, dispatcher)
        dispatcher.close()
        nursery.cancel_scope.cancel()
    return remaining


async def _run_until_drained(
    router: Router, dispatcher: SignalDispatcher
) -> dict[str, int]:
    dispatcher.phase = 'serving'
    await router.drain.wait_begun()
    dispatcher.phase = 'draining'
    return await router.run_drain()


async def _drain_on_signal(
    router: Router, dispatcher: SignalDispatcher
) -> None:
    await dispatcher.wait_stop()
    router.drain.begin('requested by a signal')


def _refuse_reload() -> None:
    _log.warning('router: settings are only read at the start; not reloaded')

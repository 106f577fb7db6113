"""
eelgrassfork.platform.daemon
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Runs a router on an entry VM of the users' platform until it is stopped.
"""

import sys
from functools import partial
from pathlib import Path
from typing import Final, NamedTuple

import logbook
import trio

from ..gateway.node import GatewayNode
from ..gateway.node_settings import NodeSettings
from ..line_writer import LineWriter
from ..logs import LogOptions, configure_logging
from ..process_signals import ProcessSignals
from ..signal_dispatcher import SignalDispatcher
from ..supervision import keep_running, run_step
from . import boot_file
from .adapter import make_adapter

__all__ = ('run',)

_log = logbook.Logger('daemon')

_EXIT_OK: Final = 0
_EXIT_FAILURE: Final = 1
_EXIT_USAGE: Final = 2
_STDOUT: Final = 1
_SETTINGS_POLL_INTERVAL_S: Final = 1.0

# Time of the last change in nanoseconds, size in bytes and inode number of a
# file; None if it can't be read.
_FileVersion = tuple[int, int, int] | None


class _SettingsSource(NamedTuple):
    path: str
    version: _FileVersion


def run(signals: ProcessSignals) -> int:
    """
    Run a router with the settings file that the platform provides.

    :param signals: signals received by this process.
    :returns: exit code: 0 after a stop signal, 1 after an error that the log
        names, 2 for invalid settings.
    """
    path = boot_file.settings_path()
    version = _file_version(path)
    try:
        settings = boot_file.read_settings(path)
    except boot_file.BootFileError as error:
        sys.stderr.write(f'{error.message}\n')
        return _EXIT_USAGE
    writer = LineWriter(_STDOUT)
    options = LogOptions('json', 'info', settings.node)
    configure_logging(options, writer)  # type: ignore[arg-type]
    source = _SettingsSource(path, version)
    try:
        return trio.run(_serve, source, settings, writer, signals)
    except Exception:
        _log.exception('the router ended by an unexpected error')
        writer.flush()
        return _EXIT_FAILURE


async def _serve(
    source: _SettingsSource,
    settings: NodeSettings,
    writer: LineWriter,
    signals: ProcessSignals,
) -> int:
    node = GatewayNode(settings, make_adapter(settings))
    node.telemetry.add_gauge(
        'log_lines_dropped',
        'Log lines dropped beyond the rate or for a slow reader.',
        lambda: writer.dropped,
    )
    dispatcher = SignalDispatcher(
        signals, partial(_reload, node, source.path, 'SIGHUP')
    )
    dispatcher.on_stop = node.fix_grace_time
    exit_code = _EXIT_OK
    async with trio.open_nursery() as nursery:
        nursery.start_soon(keep_running, 'write log lines', writer.run)
        await dispatcher.start(nursery)
        if dispatcher.is_stopping:
            _log.info('stopped before the listeners were opened')
        elif await _start(node, nursery):
            nursery.start_soon(
                keep_running,
                'settings',
                partial(_watch_settings, node, source, dispatcher),
            )
            nursery.start_soon(_stop_on_failure, node, dispatcher)
            await _run_until_stopped(node, dispatcher)
            exit_code = _EXIT_FAILURE if node.failed.is_set() else _EXIT_OK
        else:
            exit_code = _EXIT_FAILURE
        dispatcher.close()
        await writer.close()
        nursery.cancel_scope.cancel()
    return exit_code


async def _start(node: GatewayNode, nursery: trio.Nursery) -> bool:
    try:
        await node.start(nursery)
    except OSError as error:
        _log.error('a listener could not be opened', extra={'why': str(error)})
        return False
    return True


async def _stop_on_failure(
    node: GatewayNode, dispatcher: SignalDispatcher
) -> None:
    await node.failed.wait()
    dispatcher.request_stop()


async def _run_until_stopped(
    node: GatewayNode, dispatcher: SignalDispatcher
) -> None:
    dispatcher.phase = 'serving'
    elapsed_s = await dispatcher.wait_stop()
    dispatcher.phase = 'draining'
    await run_step('drain', partial(node.drain, elapsed_s))
    dispatcher.phase = 'exiting'
    await run_step('close', node.close)


async def _watch_settings(
    node: GatewayNode, source: _SettingsSource, dispatcher: SignalDispatcher
) -> None:
    # The version is older than the content that was read, so that a file that
    # was being written is read again.
    last_version = source.version
    while True:
        version = _file_version(source.path)
        if version != last_version:
            last_version = version
            # A stop that was requested before must not see the new settings.
            dispatcher.answer_all()
            _reload(node, source.path, 'settings file changed')
        await trio.sleep(_SETTINGS_POLL_INTERVAL_S)


def _file_version(path: str) -> _FileVersion:
    try:
        status = Path(path).stat()
    except OSError:
        # The reload that follows logs why the file can't be read.
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino


def _reload(node: GatewayNode, path: str, reason: str) -> None:
    try:
        settings = boot_file.read_settings(path)
    except boot_file.BootFileError as error:
        _log.error(
            'invalid settings; keeping the current ones',
            extra={'why': error.message},
        )
        return
    node.reload(settings, reason)

"""
eelgrassfork.platform.__main__
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Router daemon on an entry VM of the users' platform.
"""

import os
import signal
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Final

import logbook
import trio

from ..gateway.exchange import ForwardMetadata
from ..gateway.follower import Decoders
from ..gateway.forwarder import WireCodec
from ..gateway.node import GatewayNode, NodeAdapter
from ..gateway.node_settings import NodeSettings
from ..gateway.store import Store
from ..http_client import HttpClient
from ..line_writer import LineWriter
from ..logs import LogOptions, configure_logging
from ..supervision import keep_running
from . import boot_file, heads, server_entries
from .config_decoder import decode_configuration
from .store_client import StoreClient

__all__ = ('main', 'make_adapter')

_log = logbook.Logger('daemon')

_EXIT_OK: Final = 0
_EXIT_USAGE: Final = 2
_STDOUT: Final = 1
_SETTINGS_POLL_INTERVAL_S: Final = 1.0
# The platform's deployment file expects metrics on this port.
_METRICS_PORT_OFFSET: Final = 1


def main() -> int:
    """
    Run a router with the settings file that the platform provides.

    :returns: exit code: 0 after a drain, 2 for invalid settings.
    """
    path = boot_file.settings_path()
    try:
        settings = boot_file.read_settings(path)
    except boot_file.BootFileError as error:
        sys.stderr.write(f'{error.message}\n')
        return _EXIT_USAGE
    writer = LineWriter(_STDOUT)
    options = LogOptions('json', 'info', settings.node)
    configure_logging(options, writer)  # type: ignore[arg-type]
    trio.run(_serve, path, settings, writer)
    return _EXIT_OK


async def _serve(path: str, settings: NodeSettings, writer: LineWriter) -> None:
    node = GatewayNode(settings, make_adapter(settings))
    node.telemetry.add_gauge(
        'log_lines_dropped',
        'Log lines dropped beyond the rate or for a slow reader.',
        lambda: writer.dropped,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(keep_running, 'write log lines', writer.run)
        nursery.start_soon(
            keep_running, 'settings', partial(_watch_settings, node, path)
        )
        await node.start(nursery)
        await _wait_for_stop(node, path)
        await node.drain()
        await node.close()
        writer.flush()
        nursery.cancel_scope.cancel()


def make_adapter(settings: NodeSettings) -> NodeAdapter:
    """
    Create the platform-specific parts of a router.

    :param settings: settings of this process.
    :returns: store client factory, decoders and encoders.
    """

    def make_store(client: HttpClient, on_call: Callable[[str], None]) -> Store:
        return StoreClient(client, settings.store_address, on_call)

    return NodeAdapter(
        make_store=make_store,
        decoders=Decoders(
            'config',
            'main',
            server_entries.KIND,
            decode_configuration,
            server_entries.decode_entry,
        ),
        codec=WireCodec(heads.decode_request, heads.encode_retry_after),
        encode_metadata=_encode_metadata,
        decode_response=heads.decode_response,
        metrics_port=settings.first_internal_port + _METRICS_PORT_OFFSET,
    )


def _encode_metadata(metadata: ForwardMetadata) -> tuple[tuple[str, str], ...]:
    return heads.encode_added_headers(heads.AddedHeaders(*metadata))


async def _wait_for_stop(node: GatewayNode, path: str) -> None:
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async for signal_number in signals:
            if signal_number != signal.SIGHUP:
                return
            _reload(node, path, 'SIGHUP')


async def _watch_settings(node: GatewayNode, path: str) -> None:
    last_modified_at = _modified_at(path)
    while True:
        await trio.sleep(_SETTINGS_POLL_INTERVAL_S)
        modified_at = _modified_at(path)
        if modified_at != last_modified_at:
            last_modified_at = modified_at
            _reload(node, path, 'settings file changed')


def _modified_at(path: str) -> float:
    try:
        return Path(path).stat().st_mtime
    except OSError as error:
        _log.warning('settings file is unreadable', extra={'why': str(error)})
        return 0


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


if __name__ == '__main__':
    # Interpreter shutdown takes a large part of a second on a slow VM, and
    # SIGKILL may be imminent. Nothing is left to clean up.
    exit_code = main()
    sys.stderr.flush()
    os._exit(exit_code)

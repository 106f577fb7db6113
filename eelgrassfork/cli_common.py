"""
eelgrassfork.cli_common
~~~~~~~~~~~~~~~~~~~~~~~

Shared by all commands: exit codes, output and platform sessions.
"""

import enum
import sys
from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeVar

import msgspec
import trio

from .bundle_store import BundleStore
from .errors import EelgrassError
from .http_client import ClientTimeouts, HttpClient, HttpClientError
from .names import BadName
from .options import OptionsError
from .platform_client import PlatformClient
from .platform_types import AnswerLost, PlatformError, PlatformRefused
from .settings import RouterSettings, load_settings
from .signing import SigningError
from .vm_list import VmRecord

__all__ = (
    'EXIT_CODES_TEXT',
    'ExitCode',
    'Session',
    'exit_code_of',
    'error_text',
    'run_session',
    'print_line',
    'print_json',
)

Result = TypeVar('Result')

_TIMEOUT_S: Final = 5
_JSON_INDENT: Final = 2


class ExitCode(enum.IntEnum):
    """Exit codes of the command."""

    OK = 0
    USAGE = 2
    CONFLICT = 3
    REFUSED = 4
    UNREACHABLE = 5


_DESCRIPTIONS: Final = {
    ExitCode.OK: 'success',
    ExitCode.USAGE: 'invalid usage or input',
    ExitCode.CONFLICT: 'conflict with a change by another operator',
    ExitCode.REFUSED: 'rejected by a check, the platform or a router',
    ExitCode.UNREACHABLE: 'platform or router unreachable',
}

EXIT_CODES_TEXT: Final = 'exit codes: {}'.format(
    '; '.join(f'{code.value} {text}' for code, text in _DESCRIPTIONS.items())
)

_EXIT_BY_CODE: Final = {
    'conflict': ExitCode.CONFLICT,
    'merge_clash': ExitCode.CONFLICT,
    'name_taken': ExitCode.CONFLICT,
    'operation_id_reused': ExitCode.CONFLICT,
    'out_differs': ExitCode.CONFLICT,
    'file': ExitCode.USAGE,
    'bad_amount': ExitCode.USAGE,
    'unknown_budget': ExitCode.USAGE,
    'unknown_router': ExitCode.USAGE,
    'router_unreachable': ExitCode.UNREACHABLE,
    'routers_behind': ExitCode.UNREACHABLE,
}

# The first matching type determines the exit code.
_EXIT_BY_TYPE: Final = (
    (OptionsError, ExitCode.USAGE),
    (BadName, ExitCode.USAGE),
    (SigningError, ExitCode.USAGE),
    (PlatformRefused, ExitCode.REFUSED),
    (PlatformError, ExitCode.UNREACHABLE),
    (HttpClientError, ExitCode.UNREACHABLE),
    (EelgrassError, ExitCode.REFUSED),
)


class Session:
    """
    Clients used by a single command.

    :ivar settings: settings with platform addresses and trusted keys.
    :ivar http: HTTP client, also for calls to routers.
    :ivar platform: platform client.
    :ivar bundles: store of bundles at the platform.
    """

    def __init__(self, settings: RouterSettings) -> None:
        self.settings = settings
        self.http = HttpClient(ClientTimeouts(first_byte_s=_TIMEOUT_S))
        self.platform = PlatformClient(
            self.http, settings.platform, _TIMEOUT_S, 'operator'
        )
        self.bundles = BundleStore(self.platform, settings.trusted_keys)

    async def read_vms(self) -> tuple[VmRecord, ...]:
        """
        Read the VM list.

        :returns: records of all VMs.
        :raises PlatformError: if the platform does not answer.
        """
        vm_list = await self.platform.vms()
        return vm_list.vms


def run_session(
    settings_path: str, action: Callable[[Session], Awaitable[Result]]
) -> Result:
    """
    Run a command that calls the platform or routers.

    :param settings_path: settings file of any router of the fleet.
    :param action: coroutine function that implements the command.
    :returns: the return value of the action.
    :raises EelgrassError: errors of the action, or :class:`OptionsError` if
        the settings are invalid.
    """
    session = Session(load_settings(settings_path))

    async def main() -> Result:
        try:
            return await action(session)
        finally:
            await session.http.close()

    return trio.run(main)


def exit_code_of(error: EelgrassError) -> ExitCode:
    """
    Map an error to an exit code.

    :param error: the error that the command raised.
    :returns: the exit code.
    """
    matching = (code for kind, code in _EXIT_BY_TYPE if isinstance(error, kind))
    return _EXIT_BY_CODE.get(error.code) or next(matching)


def error_text(error: EelgrassError) -> str:
    """
    Format an error for standard error.

    :param error: the error that the command raised.
    :returns: one or more lines of text.
    """
    lines = [
        f'eelgrassfork: {line}' for line in error.message.splitlines() or ['']
    ]
    if isinstance(error, AnswerLost):
        lines.append(
            'eelgrassfork: the write may have taken effect; retry the command'
        )
    return '\n'.join(lines)


def print_line(text: str) -> None:
    """
    Write a line to standard output.

    :param text: the line.
    """
    sys.stdout.write(f'{text}\n')


def print_json(content: Any) -> None:
    """
    Write indented JSON to standard output.

    :param content: a value that msgspec can encode.
    """
    encoded = msgspec.json.encode(content, order='sorted')
    print_line(msgspec.json.format(encoded, indent=_JSON_INDENT).decode())

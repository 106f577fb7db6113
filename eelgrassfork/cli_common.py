"""
eelgrassfork.cli_common
~~~~~~~~~~~~~~~~~~~~~~~

What the commands share: exit codes, output and a platform session.
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

Returned = TypeVar('Returned')

_TIMEOUT_S: Final = 5
_JSON_INDENT: Final = 2


class ExitCode(enum.IntEnum):
    """Exit codes of the command."""

    OK = 0
    USAGE = 2
    CONFLICT = 3
    REFUSED = 4
    UNREACHABLE = 5


_MEANINGS: Final = {
    ExitCode.OK: 'done',
    ExitCode.USAGE: 'wrong usage or input',
    ExitCode.CONFLICT: 'conflict with what another operator did',
    ExitCode.REFUSED: 'refused by a check, the platform or a router',
    ExitCode.UNREACHABLE: 'platform or router can not be reached',
}

EXIT_CODES_TEXT: Final = 'exit codes: {}'.format(
    '; '.join(f'{code.value} {text}' for code, text in _MEANINGS.items())
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

# The first type that fits decides.
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
    Connections of one command.

    :ivar settings: what names the platform and the trusted keys.
    :ivar http: connections, also to routers.
    :ivar platform: client of the platform.
    :ivar bundles: bundles at the platform.
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

        :returns: all VMs.
        :raises PlatformError: if the platform does not answer.
        """
        vm_list = await self.platform.vms()
        return vm_list.vms


def run_session(
    settings_path: str, action: Callable[[Session], Awaitable[Returned]]
) -> Returned:
    """
    Run a command that talks to the platform or to routers.

    :param settings_path: settings file of any router of the fleet.
    :param action: the command.
    :returns: what the action returns.
    :raises EelgrassError: what the action raises, or
        :class:`OptionsError` if the settings are wrong.
    """
    session = Session(load_settings(settings_path))

    async def main() -> Returned:
        try:
            return await action(session)
        finally:
            await session.http.close()

    return trio.run(main)


def exit_code_of(error: EelgrassError) -> ExitCode:
    """
    Tell the exit code of a failed command.

    :param error: why it failed.
    :returns: the code.
    """
    fitting = (code for kind, code in _EXIT_BY_TYPE if isinstance(error, kind))
    return _EXIT_BY_CODE.get(error.code) or next(fitting)


def error_text(error: EelgrassError) -> str:
    """
    Describe a failure to the operator.

    :param error: why the command failed.
    :returns: lines of text.
    """
    lines = [
        f'eelgrassfork: {line}' for line in error.message.splitlines() or ['']
    ]
    if isinstance(error, AnswerLost):
        lines.append(
            'eelgrassfork: it may have taken effect; repeat the command'
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

    :param content: what msgspec can encode.
    """
    encoded = msgspec.json.encode(content, order='sorted')
    print_line(msgspec.json.format(encoded, indent=_JSON_INDENT).decode())

"""
eelgrassfork.cli
~~~~~~~~~~~~~~~~

Entry point of the ``eelgrassfork`` command line.
"""

import sys
from collections.abc import Sequence
from typing import Any, Final

import defopt

from .cli_bundle import (
    bundle_check,
    bundle_show,
    bundle_sign,
    bundle_submit,
)
from .cli_common import EXIT_CODES_TEXT, ExitCode, error_text, exit_code_of
from .cli_files import organisation_create, settings_check
from .cli_fleet import (
    budget_show,
    budget_top_up,
    router_drain,
    router_dump,
    router_list,
)
from .cli_keys import (
    keys_grant,
    keys_list,
    keys_make,
    keys_revoke,
    keys_rotate,
)
from .cli_merge import bundle_merge
from .cli_rollout import bundle_rollout, bundle_status
from .errors import EelgrassError

__all__ = ('COMMANDS', 'main')

COMMANDS: Final[dict[str, Any]] = {
    'settings': {'check': settings_check},
    'bundle': {
        'check': bundle_check,
        'merge': bundle_merge,
        'sign': bundle_sign,
        'rollout': bundle_rollout,
        'submit': bundle_submit,
        'show': bundle_show,
        'status': bundle_status,
    },
    'keys': {
        'make': keys_make,
        'list': keys_list,
        'grant': keys_grant,
        'rotate': keys_rotate,
        'revoke': keys_revoke,
    },
    'organisation': {'create': organisation_create},
    'budget': {'top-up': budget_top_up, 'show': budget_show},
    'router': {
        'list': router_list,
        'drain': router_drain,
        'dump': router_dump,
    },
}


def main(argv: Sequence[str] | None = None) -> int:
    """
    Run a command.

    :param argv: arguments; ``sys.argv[1:]`` if ``None``.
    :returns: exit code, see :class:`~eelgrassfork.cli_common.ExitCode`.
    """
    try:
        defopt.run(
            COMMANDS,
            argv=None if argv is None else list(argv),
            argparse_kwargs={'epilog': EXIT_CODES_TEXT},
            short={},
        )
    except EelgrassError as error:
        sys.stderr.write(f'{error_text(error)}\n')
        return exit_code_of(error)
    return ExitCode.OK

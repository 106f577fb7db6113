"""
eelgrassfork.platform.boot_file
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Parses the settings file that the platform writes for each process.
"""

import os
from collections.abc import Callable
from pathlib import Path
from typing import Final, TypeVar

from ..errors import EelgrassError
from ..gateway.node_settings import Bounds, NodeSettings

__all__ = (
    'PATH_VARIABLE',
    'BootFileError',
    'parse_settings',
    'read_settings',
    'settings_path',
)

PATH_VARIABLE: Final = 'EELGRASSFORK_BOOT'
_DEFAULT_PATH: Final = '/etc/eelgrassfork/settings.conf'

_MS_PER_S: Final = 1000
# Part of the users' rules under which callers compete for too little room.
_PRESSURE_CONTRACT: Final = 'pressure'
# The rest of the field is the name of a failure domain, its value the region.
_ZONE_PREFIX: Final = 'zones.'

_Option = TypeVar('_Option')


class BootFileError(EelgrassError):
    """The settings file is unreadable, or a field is missing or invalid."""


def settings_path() -> str:
    """
    Return the path of the settings file.

    :returns: path set in the environment, or else the default path.
    """
    return os.environ.get(PATH_VARIABLE) or _DEFAULT_PATH


def read_settings(path: str) -> NodeSettings:
    """
    Read and validate a settings file.

    :param path: path of the file.
    :returns: settings of this process.
    :raises BootFileError: if the file can't be read, or a field is missing or
        invalid.
    """
    try:
        text = Path(path).read_text('utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise BootFileError('settings_unreadable', f'{path}: {error}') from None
    return parse_settings(text)


def parse_settings(text: str) -> NodeSettings:
    """
    Parse and validate settings; unknown fields are ignored.

    :param text: lines of the form ``a.b=value``.
    :returns: settings of this process.
    :raises BootFileError: if a field is missing or invalid; the message names
        the field.
    """
    texts_by_field = dict(
        line.strip().split('=', 1)
        for line in text.splitlines()
        if '=' in line and not line.lstrip().startswith('#')
    )
    first_port, last_port = _parse_field(
        texts_by_field, 'internalPorts', _parse_port_range
    )
    return NodeSettings(
        node=_parse_field(texts_by_field, 'node', _parse_text),
        failure_domain=_parse_field(texts_by_field, 'zone', _parse_text),
        ip=_parse_field(texts_by_field, 'ip', _parse_text),
        caller_address=_parse_field(
            texts_by_field, 'listen.front', _parse_address
        ),
        ready_address=_parse_field(
            texts_by_field, 'listen.ready', _parse_address
        ),
        peer_address=_parse_field(
            texts_by_field, 'listen.control', _parse_address
        ),
        first_internal_port=first_port,
        last_internal_port=last_port,
        seeds=_parse_field(texts_by_field, 'seeds', _parse_addresses, ()),
        store_address=_parse_field(
            texts_by_field, 'provider.address', _parse_address
        ),
        bounds=_parse_bounds(texts_by_field),
        first_start=_parse_field(
            texts_by_field, 'bootstrap', _parse_flag, False
        ),
        link_mbps=_number_field(texts_by_field, 'limits.linkMbps', 1),
        is_contended=_PRESSURE_CONTRACT
        in texts_by_field.get('contracts', '').split(','),
        regions_by_domain={
            field.removeprefix(_ZONE_PREFIX): region
            for field, region in texts_by_field.items()
            if field.startswith(_ZONE_PREFIX) and region
        },
        memory_mb=_number_field(texts_by_field, 'limits.memoryMb', 0),
        max_fds=_number_field(texts_by_field, 'limits.maxFds', 0),
    )


def _parse_bounds(texts_by_field: dict[str, str]) -> Bounds:
    defaults = Bounds()
    return Bounds(
        grace_s=_number_field(
            texts_by_field, 'bounds.graceS', defaults.grace_s
        ),
        config_s=_seconds_field(
            texts_by_field, 'bounds.configMs', defaults.config_s
        ),
        retry_ratio=_number_field(
            texts_by_field, 'bounds.retryBudgetRatio', defaults.retry_ratio
        ),
        retry_window_s=_number_field(
            texts_by_field, 'bounds.budgetWindowS', defaults.retry_window_s
        ),
        retry_slack=_number_field(
            texts_by_field, 'bounds.budgetSlack', defaults.retry_slack
        ),
        evacuation_s=_parse_evacuation_s(texts_by_field),
    )


def _parse_evacuation_s(texts_by_field: dict[str, str]) -> float | None:
    # Absence turns evacuations off, so that there is no default.
    name = 'bounds.evacuationMs'
    if not texts_by_field.get(name):
        return None
    return _parse_field(texts_by_field, name, _parse_positive) / _MS_PER_S


def _number_field(
    texts_by_field: dict[str, str], name: str, default: float
) -> float:
    return _parse_field(texts_by_field, name, _parse_non_negative, default)


def _seconds_field(
    texts_by_field: dict[str, str], name: str, default: float
) -> float:
    default_ms = default * _MS_PER_S
    return _number_field(texts_by_field, name, default_ms) / _MS_PER_S


def _parse_field(
    texts_by_field: dict[str, str],
    name: str,
    parse: Callable[[str], _Option],
    default: _Option | None = None,
) -> _Option:
    text = texts_by_field.get(name, '')
    if not text:
        if default is None:
            raise BootFileError(
                'settings_missing', f'required field {name} is missing'
            )
        return default
    try:
        return parse(text)
    except ValueError as error:
        raise BootFileError(
            'settings_wrong', f'{name}={text!r}: {error}'
        ) from None


def _parse_text(text: str) -> str:
    return text


def _parse_flag(text: str) -> bool:
    return text == 'true'


def _parse_address(text: str) -> str:
    host, _, port = text.rpartition(':')
    if not host or not port.isdecimal():
        raise ValueError('expected IP:PORT')
    return text


def _parse_addresses(text: str) -> tuple[str, ...]:
    return tuple(_parse_address(part) for part in text.split(',') if part)


def _parse_port_range(text: str) -> tuple[int, int]:
    first, _, last = text.partition(',')
    if int(first) > int(last):
        raise ValueError('first port is greater than last port')
    return int(first), int(last)


def _parse_positive(text: str) -> float:
    number = _parse_non_negative(text)
    if not number:
        raise ValueError('expected a number above 0')
    return number


def _parse_non_negative(text: str) -> float:
    number = float(text)
    if not 0 <= number < float('inf'):
        raise ValueError('expected a finite number of at least 0')
    return number

"""
eelgrassfork.options
~~~~~~~~~~~~~~~~~~~~

Checked reading of options into typed records, with every error named.
"""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeVar, get_args, get_type_hints

import msgspec

from .errors import EelgrassError

__all__ = (
    'FieldPath',
    'OptionsError',
    'Problem',
    'Problems',
    'read_record',
    'read_value',
)

Record = TypeVar('Record')

FieldPath = tuple[str, ...]


class Problem(NamedTuple):
    """
    One thing that is wrong with the options.

    :param field: dotted path of the option, or empty for the whole file.
    :param line: line from 1, where known.
    """

    message: str
    field: str = ''
    file: str = ''
    line: int | None = None

    def __str__(self) -> str:
        place = self.file
        if self.line is not None:
            place = f'{place}:{self.line}'
        return ': '.join(
            part for part in (place, self.field, self.message) if part
        )


class OptionsError(EelgrassError):
    """
    Options break their rules.

    :ivar problems: all that is wrong, in the order found.
    """

    def __init__(self, *problems: Problem) -> None:
        super().__init__(
            'bad_option', '\n'.join(str(problem) for problem in problems)
        )
        self.problems = problems


class Problems:
    """
    Collects what is wrong, so that one check reports everything.

    :param file: file the options come from, or empty.
    :param find_line: tells the line of a field, where it can.
    """

    def __init__(
        self,
        file: str = '',
        find_line: Callable[[FieldPath], int | None] | None = None,
    ) -> None:
        self.found: list[Problem] = []
        self._file = file
        self._find_line = find_line

    def add(self, path: FieldPath, message: str) -> None:
        """
        Note a problem.

        :param path: names that lead to the option, outermost first.
        :param message: what is wrong, without the option's name.
        """
        field = '.'.join(path)
        line = self._find_line(path) if self._find_line else None
        self.found.append(Problem(message, field, self._file, line))

    def location_of(self, path: FieldPath) -> str:
        """
        Tell where an option stands.

        :param path: names that lead to the option, outermost first.
        :returns: file and line, as far as they are known.
        """
        line = self._find_line(path) if self._find_line else None
        return self._file if line is None else f'{self._file}:{line}'

    def check(self) -> None:
        """
        Report what was noted.

        :raises OptionsError: if anything was.
        """
        if self.found:
            raise OptionsError(*self.found)


def read_record(
    record_type: type[Record],
    raw: object,
    path: FieldPath,
    problems: Problems,
    given: Mapping[str, Any] | None = None,
) -> Record | None:
    """
    Read an object into a NamedTuple type; unknown fields are errors.

    :param record_type: the type; its fields may be annotated with bounds.
    :param raw: decoded JSON or MessagePack.
    :param path: where the object stands.
    :param problems: takes what is wrong.
    :param given: fields that are not options but set by the caller.
    :returns: the record, or ``None`` if anything was wrong.
    """
    if not isinstance(raw, dict):
        problems.add(path, 'expected an object')
        return None
    before = len(problems.found)
    read = dict(given or {})
    hints = get_type_hints(record_type, include_extras=True)
    options = [name for name in hints if name not in read]
    for unknown in sorted(raw.keys() - set(options)):
        problems.add((*path, unknown), 'unknown option')
    defaults = getattr(record_type, '_field_defaults', {})
    for name in options:
        option = raw.get(name, msgspec.UNSET)
        if option is not msgspec.UNSET:
            field = (*path, name)
            read[name] = read_value(hints[name], option, field, problems)
        elif name not in defaults:
            problems.add((*path, name), 'is missing')
    if len(problems.found) > before:
        return None
    return record_type(**read)


def read_value(
    hint: Any, raw: object, path: FieldPath, problems: Problems
) -> Any:
    """
    Read one option.

    :param hint: its type; a NamedTuple is read from an object.
    :param raw: decoded JSON or MessagePack.
    :param path: where the option stands.
    :param problems: takes what is wrong.
    :returns: the typed value, or ``None`` if it was wrong.
    """
    for choice in (hint, *get_args(hint)):
        if hasattr(choice, '_fields') and raw is not None:
            return read_record(choice, raw, path, problems)
    try:
        return msgspec.convert(raw, hint)
    except msgspec.ValidationError as error:
        problems.add(path, _plain(str(error)))
    return None


def _plain(message: str) -> str:
    sentence = message.replace('`', '')
    return sentence[:1].lower() + sentence[1:]

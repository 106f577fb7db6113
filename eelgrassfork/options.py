"""
eelgrassfork.options
~~~~~~~~~~~~~~~~~~~~

Validates options into typed records and reports every problem found.
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
    A problem with the options.

    :param message: description of the problem.
    :param field: dotted path of the option, or empty for the whole file.
    :param file: path of the file, or empty.
    :param line: line number from 1, or ``None`` if unknown.
    """

    message: str
    field: str = ''
    file: str = ''
    line: int | None = None

    def __str__(self) -> str:
        location = self.file
        if self.line is not None:
            location = f'{location}:{self.line}'
        return ': '.join(
            part for part in (location, self.field, self.message) if part
        )


class OptionsError(EelgrassError):
    """
    Options are invalid.

    :ivar problems: all problems, in the order found.
    """

    def __init__(self, *problems: Problem) -> None:
        super().__init__(
            'bad_option', '\n'.join(str(problem) for problem in problems)
        )
        self.problems = problems


class Problems:
    """
    Collects problems, so that one check reports all of them.

    :param file: path of the options file, or empty.
    :param find_line: returns the line of a field, or ``None`` if unknown.
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
        Record a problem.

        :param path: path of field names to the option, outermost first.
        :param message: description of the problem, without the option's name.
        """
        field = '.'.join(path)
        line = self._find_line(path) if self._find_line else None
        self.found.append(Problem(message, field, self._file, line))

    def location_of(self, path: FieldPath) -> str:
        """
        Format the location of an option.

        :param path: path of field names to the option, outermost first.
        :returns: file and line, as far as known.
        """
        line = self._find_line(path) if self._find_line else None
        return self._file if line is None else f'{self._file}:{line}'

    def check(self) -> None:
        """
        Raise an error if problems were recorded.

        :raises OptionsError: with all recorded problems.
        """
        if self.found:
            raise OptionsError(*self.found)


def read_record(
    record_type: type[Record],
    raw: object,
    path: FieldPath,
    problems: Problems,
    preset: Mapping[str, Any] | None = None,
) -> Record | None:
    """
    Convert an object to a NamedTuple type; unknown fields are errors.

    :param record_type: the type; its fields may be annotated with bounds.
    :param raw: decoded JSON or MessagePack.
    :param path: path of field names to the object.
    :param problems: collects the problems found.
    :param preset: fields that are set by the caller and are not options.
    :returns: the record, or ``None`` if problems were found.
    """
    if not isinstance(raw, dict):
        problems.add(path, 'expected an object')
        return None
    problems_before = len(problems.found)
    field_values = dict(preset or {})
    hints = get_type_hints(record_type, include_extras=True)
    option_names = [name for name in hints if name not in field_values]
    for unknown_name in sorted(raw.keys() - set(option_names)):
        problems.add((*path, unknown_name), 'unknown option')
    defaults = getattr(record_type, '_field_defaults', {})
    for name in option_names:
        option = raw.get(name, msgspec.UNSET)
        if option is not msgspec.UNSET:
            field = (*path, name)
            field_values[name] = read_value(
                hints[name], option, field, problems
            )
        elif name not in defaults:
            problems.add((*path, name), 'is missing')
    if len(problems.found) > problems_before:
        return None
    return record_type(**field_values)


def read_value(
    hint: Any, raw: object, path: FieldPath, problems: Problems
) -> Any:
    """
    Convert the value of an option.

    :param hint: type of the option; a NamedTuple is read from an object.
    :param raw: decoded JSON or MessagePack.
    :param path: path of field names to the option.
    :param problems: collects the problems found.
    :returns: the typed value, or ``None`` if it is invalid.
    """
    for choice in (hint, *get_args(hint)):
        if hasattr(choice, '_fields') and raw is not None:
            return read_record(choice, raw, path, problems)
    try:
        return msgspec.convert(raw, hint)
    except msgspec.ValidationError as error:
        problems.add(path, _to_problem_message(str(error)))
    return None


def _to_problem_message(message: str) -> str:
    plain_text = message.replace('`', '')
    return plain_text[:1].lower() + plain_text[1:]

"""
eelgrassfork.settled_numbers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Compact set of the settled reservation numbers of an account.
"""

from bisect import bisect_left
from typing import NamedTuple

__all__ = ('SettledNumbers', 'is_settled', 'with_number')


class SettledNumbers(NamedTuple):
    """
    A set of reservation numbers, which start at 1.

    There are never more ranges than open reservations. A list of single
    numbers would instead grow while even one stream stays open.

    :param through: all numbers up to and including this one are settled.
    :param beyond: settled numbers above that, as ascending inclusive ranges.
    """

    through: int = 0
    beyond: tuple[tuple[int, int], ...] = ()


def is_settled(settled: SettledNumbers, number: int) -> bool:
    """
    Return whether a reservation is settled.

    :param settled: the settled numbers.
    :param number: number of the reservation.
    :returns: whether the set contains the number.
    """
    if number <= settled.through:
        return True
    return any(first <= number <= last for first, last in settled.beyond)


def with_number(settled: SettledNumbers, number: int) -> SettledNumbers:
    """
    Add a number; idempotent.

    :param settled: the settled numbers.
    :param number: number of a reservation.
    :returns: a new set that contains the number.
    """
    if is_settled(settled, number):
        return settled
    through, beyond = settled
    if number > through + 1:
        return SettledNumbers(through, _insert(beyond, number))
    if beyond and beyond[0][0] == number + 1:
        return SettledNumbers(beyond[0][1], beyond[1:])
    return SettledNumbers(number, beyond)


def _insert(
    ranges: tuple[tuple[int, int], ...], number: int
) -> tuple[tuple[int, int], ...]:
    index = bisect_left(ranges, (number, number))
    before, after = ranges[:index], ranges[index:]
    first, last = number, number
    if before and before[-1][1] == number - 1:
        first, before = before[-1][0], before[:-1]
    if after and after[0][0] == number + 1:
        last, after = after[0][1], after[1:]
    return (*before, (first, last), *after)

"""
eelgrassfork.settled_numbers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which of an account's reservations are settled, in bounded space.
"""

from bisect import bisect_left
from typing import NamedTuple

__all__ = ('SettledNumbers', 'is_settled', 'with_number')


class SettledNumbers(NamedTuple):
    """
    A set of reservation numbers, which count from 1.

    The ranges are at most as many as there are open reservations. A list of
    single numbers would grow for as long as one stream stays open.

    :param through: all numbers up to this one are settled.
    :param beyond: further settled numbers as ascending inclusive ranges.
    """

    through: int = 0
    beyond: tuple[tuple[int, int], ...] = ()


def is_settled(settled: SettledNumbers, number: int) -> bool:
    """
    Tell whether a reservation is settled.

    :param settled: the settled numbers.
    :param number: number of the reservation.
    :returns: whether it is among them.
    """
    if number <= settled.through:
        return True
    return any(first <= number <= last for first, last in settled.beyond)


def with_number(settled: SettledNumbers, number: int) -> SettledNumbers:
    """
    Add a number.

    :param settled: the settled numbers.
    :param number: number of a reservation; adding it again has no effect.
    :returns: the new set.
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

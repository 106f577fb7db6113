"""
eelgrassfork.gateway.expected_time
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Estimates how long a request takes at a backend server; pure functions only.

Used where servers report their slowdown.  The model is that of an engine with
continuous batching: prompts are prefilled one after the other, and each step
produces one event for all running requests.  Its absolute durations need not
be right, as a learnt factor for each server corrects them.
"""

from collections.abc import Sequence
from typing import Final, NamedTuple

__all__ = (
    'ExpectedTime',
    'FleetMeans',
    'RequestSize',
    'ServerTiming',
    'decayed_slowdown',
    'expected_time',
    'fleet_means',
    'learnt_speed',
)

# Durations of a mid-size model on an average machine, in seconds: a step with
# one request, each further request of the step, and a token of a prompt.
_STEP_S: Final = 0.014
_STEP_S_PER_REQUEST: Final = 0.001
_PREFILL_S_PER_TOKEN: Final = 0.0002
# Most answers end before their maximum length.
_OUTPUT_FRACTION: Final = 0.5
# The slowdown changes many times a second: half of a reported deviation is
# over after this time.
_SLOWDOWN_HALF_LIFE_S: Final = 0.25
# Time for which a present deviation counts in full, the mean duration with
# that half-life.
_SLOWDOWN_TIME_S: Final = 0.36
# The learnt factor of a server is half forgotten after this time without a
# measurement, so that a server that was slow once is tried again.
_SPEED_MEMORY_S: Final = 30.0
_SPEED_WEIGHT: Final = 0.15
# A larger deviation of one measurement is due to the request, for example to
# false token counts of its caller.
_MAX_DEVIATION: Final = 4.0
# Servers differ by 0.7 to 1.7; the rest of the range is for an engine whose
# durations differ from the constants above.
_MIN_SPEED: Final = 0.05
_MAX_SPEED: Final = 20.0


class ServerTiming(NamedTuple):
    """
    What this router knows about the load and speed of a server.

    :param slots: requests that the server runs concurrently, at least 1.
    :param in_flight: requests of this router in progress there.
    :param others: requests of other routers there at the last report.
    :param waiting: requests that waited for a slot at the last report.
    :param report_weight: reliability of that report by its age, from 0 (none)
        to 1 (new).
    :param slowdown: estimated present slowdown, 1.0 as usual.
    :param speed: learnt factor between observed and expected time; above 1
        for a slow server.
    :param speed_age_s: seconds since that was learnt; infinite if never.
    :param prefill_tokens: prompt tokens of this router's requests that the
        server has not prefilled yet.
    :param tokens: maximum tokens of this router's requests there.
    :param memory_tokens: tokens that fit into the memory of the server; 0 if
        unknown.
    """

    slots: int
    in_flight: int
    others: float
    waiting: float
    report_weight: float
    slowdown: float
    speed: float
    speed_age_s: float
    prefill_tokens: int
    tokens: int
    memory_tokens: int


class RequestSize(NamedTuple):
    """
    Size of a request.

    :param prompt_tokens: tokens of the prompt.
    :param output_tokens: maximum number of tokens of the answer.
    :param shared_tokens: tokens of the prompt's shared prefix.
    :param tokens_per_event: tokens that one step produces, at least 1.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
    shared_tokens: int = 0
    tokens_per_event: int = 1


class FleetMeans(NamedTuple):
    """
    Means over the servers of a service, used where one is not known better.

    :param others_per_slot: requests of other routers for each slot.
    :param speed: learnt factor.
    :param report_weight: reliability of the reports by their age, 0 to 1.
    """

    others_per_slot: float
    speed: float
    report_weight: float


class ExpectedTime(NamedTuple):
    """
    Estimated duration of a request at one server.

    :param first_s: seconds to the first event.
    :param last_s: seconds to the last event.
    :param fits: whether the memory of the server is enough for the request.
    :param speed: factor for the server that the estimate includes.
    :param slowdown: present slowdown that it includes.
    """

    first_s: float
    last_s: float
    fits: bool
    speed: float
    slowdown: float


def decayed_slowdown(slowdown: float, age_s: float) -> float:
    """
    Estimate the present slowdown from the last report.

    :param slowdown: reported factor.
    :param age_s: age of the report in seconds.
    :returns: factor, which approaches 1 with age.
    """
    decay: float = 0.5 ** (max(0, age_s) / _SLOWDOWN_HALF_LIFE_S)
    return 1 + (slowdown - 1) * decay


def learnt_speed(
    speed: float, expected: ExpectedTime, observed_s: float
) -> float:
    """
    Learn the speed of a server from a measured time to the first event.

    The mean is geometric and deviations are bounded, so that one outlier
    counts little.

    :param speed: factor learnt so far.
    :param expected: estimate when the request was sent.
    :param observed_s: measured time to the first event in seconds.
    :returns: updated factor.
    """
    base_s = expected.first_s / expected.speed
    if base_s <= 0:
        return speed
    ratio = observed_s / base_s / speed
    ratio = min(max(ratio, 1 / _MAX_DEVIATION), _MAX_DEVIATION)
    learnt: float = speed * ratio**_SPEED_WEIGHT
    return min(max(learnt, _MIN_SPEED), _MAX_SPEED)


def fleet_means(timings: Sequence[ServerTiming]) -> FleetMeans:
    """
    Compute the means over the servers of a service.

    :param timings: the servers.
    :returns: means, weighted by how recent the figures are.
    """
    others: float = 0
    reports: float = 0
    speeds: float = 0
    weights: float = 0
    for timing in timings:
        weight = timing.report_weight
        others += weight * timing.others / timing.slots
        reports += weight
        weight = _SPEED_MEMORY_S / (_SPEED_MEMORY_S + timing.speed_age_s)
        speeds += weight * timing.speed
        weights += weight
    return FleetMeans(
        others / reports if reports else 0,
        speeds / weights if weights else 1,
        reports / max(1, len(timings)),
    )


def expected_time(
    timing: ServerTiming, size: RequestSize, means: FleetMeans
) -> ExpectedTime:
    """
    Estimate the time to the first and to the last event of a request.

    Figures that are old approach the mean of all servers: other routers have
    seen them too, and have filled a server that was idle.

    :param timing: state of the server.
    :param size: size of the request.
    :param means: means over the servers of the service.
    :returns: the estimate.
    """
    others = _present_others(timing, means)
    requests = timing.in_flight + others
    step_s = _STEP_S + _STEP_S_PER_REQUEST * min(requests, timing.slots)
    decode_s = (
        step_s * size.output_tokens * _OUTPUT_FRACTION / size.tokens_per_event
    )
    prefill_s = _PREFILL_S_PER_TOKEN * size.prompt_tokens
    run_s = step_s + prefill_s + decode_s
    # Another request is being prefilled for this part of its time.
    others_prefill_s = others * prefill_s * prefill_s / run_s / 2
    excess_tokens = _excess_tokens(timing, size, others)
    first_s = (
        _slot_wait_s(timing, requests, run_s)
        + _memory_wait_s(timing, excess_tokens, run_s)
        + _PREFILL_S_PER_TOKEN * timing.prefill_tokens
        + others_prefill_s
        + prefill_s
        + step_s
    )
    speed = _present_speed(timing, means)
    extra = timing.slowdown - 1
    last_s = first_s + decode_s
    return ExpectedTime(
        speed * (first_s + extra * min(first_s, _SLOWDOWN_TIME_S)),
        speed * (last_s + extra * min(last_s, _SLOWDOWN_TIME_S)),
        excess_tokens <= 0,
        speed,
        timing.slowdown,
    )


def _present_others(timing: ServerTiming, means: FleetMeans) -> float:
    weight = timing.report_weight
    usual = timing.slots * means.others_per_slot
    return weight * timing.others + (1 - weight) * usual


def _present_speed(timing: ServerTiming, means: FleetMeans) -> float:
    weight = _SPEED_MEMORY_S / (_SPEED_MEMORY_S + timing.speed_age_s)
    return weight * timing.speed + (1 - weight) * means.speed


def _slot_wait_s(timing: ServerTiming, requests: float, run_s: float) -> float:
    # Requests may wait although slots are free, for memory.
    waiting = max(
        timing.report_weight * timing.waiting, requests + 1 - timing.slots, 0
    )
    return run_s * waiting / timing.slots


def _excess_tokens(
    timing: ServerTiming, size: RequestSize, others: float
) -> float:
    if not timing.memory_tokens:
        return 0
    request_tokens = size.prompt_tokens + size.output_tokens
    mean_tokens: float = request_tokens
    if timing.in_flight:
        mean_tokens = timing.tokens / timing.in_flight
    used = timing.tokens + others * mean_tokens
    return used + request_tokens - timing.memory_tokens


def _memory_wait_s(
    timing: ServerTiming, excess_tokens: float, run_s: float
) -> float:
    if excess_tokens <= 0:
        return 0
    # All memory is released once within the time of a request.
    return run_s * excess_tokens / timing.memory_tokens

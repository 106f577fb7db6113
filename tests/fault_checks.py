"""
tests.fault_checks
~~~~~~~~~~~~~~~~~~

Checks the guarantees after each cell against the records of the stand-ins.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from standins.engine_text import completion_text
from tests.fault_callers import AttemptResult, Request
from tests.fault_scene import Scene
from tests.fault_world import FIRST_BYTE_MS, PRICE

__all__ = ('find_problems', 'billing_problems')

LEAVING_NOTICE_S = 5
# Claims, draws and loans wait for at most 13 s by the limits in the settings;
# then come the queue and two servers with two time-outs each.
REFUSAL_LIMIT_S = 13 + 2 + 4 * FIRST_BYTE_MS / 1000
# Errors that a later retry can resolve.
RETRY_AFTER_CODES = frozenset(
    (
        'credit_held_elsewhere',
        'credit_unreachable',
        'request_in_progress',
        'organisation_limit',
        'claim_unreachable',
        'overloaded',
        'no_server',
        'draining',
        'not_ready',
    ),
)


class Bill(NamedTuple):
    """Lower and upper bound of what may be billed, in tokens."""

    least: int
    most: int


def find_problems(scene: Scene) -> list[str]:
    """
    Run all checks.

    :param scene: a cell that has settled.
    :returns: one message for each violated guarantee.
    """
    return [
        *scene.world.crashes,
        *scene.records.ledger_faults,
        *billing_problems(scene),
        *_order_problems(scene),
        *_answer_problems(scene),
        *_outcome_problems(scene),
        *_leaving_problems(scene),
        *_refusal_problems(scene),
    ]


def billing_problems(scene: Scene) -> list[str]:
    """
    Compare the ledger with the records, and find credit of ended routers.

    :param scene: the cell.
    :returns: one message for each difference.
    """
    return [
        problem
        for organisation in ('subject', 'others')
        for problem in _billing_problems_of(scene, organisation)
    ]


def _billing_problems_of(scene: Scene, organisation: str) -> Iterator[str]:
    results_by_request: dict[Request, list[AttemptResult]] = defaultdict(list)
    for result in scene.callers.results:
        if result.request.organisation == organisation:
            results_by_request[result.request].append(result)
    bills = [
        bill
        for request, attempts in results_by_request.items()
        for bill in _bills(scene, request, attempts)
    ]
    least = sum(bill.least for bill in bills)
    most = sum(bill.most for bill in bills)
    billed = scene.records.billed(organisation)
    if not least <= billed <= most:
        yield (
            f'{organisation}: {billed} tokens are billed, '
            f'by the records {least} to {most}'
        )
    record = scene.records.budget(organisation)
    if billed > record['granted']:
        yield f'{organisation}: {billed} of {record["granted"]} are spent'
    running = {
        scene.world.hosts_by_vm[vm].part.holder for vm in scene.world.routers()
    }
    for holder in record['holders'].keys() - running:
        yield f'{organisation}: {holder} is gone and still holds credit'


def _bills(
    scene: Scene, request: Request, attempts: list[AttemptResult]
) -> Iterator[Bill]:
    if request.is_order:
        yield _order_bill(scene, request, attempts)
        return
    # Look-ups are free.
    cost_by_identity: Counter[str] = Counter()
    if request.is_chat:
        for record in scene.records.generated(request):
            known = cost_by_identity[record.request_id]
            cost_by_identity[record.request_id] = max(known, record.tokens)
    # All attempts with a key are the same request.
    complete_ids = {
        result.request_id for result in attempts if result.is_complete
    }
    for identity, cost in cost_by_identity.items():
        paid = bool(complete_ids) if request.key else identity in complete_ids
        yield Bill(cost if paid else 0, cost)


def _order_bill(
    scene: Scene, request: Request, attempts: list[AttemptResult]
) -> Bill:
    # An order with an unknown outcome may be billed, because the service may
    # have executed it.
    executed = bool(scene.records.executed(request))
    doubtful = any(
        not result.is_complete and result.outcome != 'not_run'
        for result in attempts
    )
    return Bill(PRICE * executed, PRICE * (executed or doubtful))


def _order_problems(scene: Scene) -> Iterator[str]:
    counts = Counter(each.key for each in scene.records.executions if each.key)
    for key, count in counts.items():
        if count > 1:
            yield f'the order {key} ran {count} times'


def _answer_problems(scene: Scene) -> Iterator[str]:
    for result in scene.callers.results:
        if not result.is_complete:
            continue
        if result.request.is_chat:
            expected = completion_text(result.request.body)
            if result.text.split() != expected.split():
                yield f'{_name(result)} got {result.text!r}, not {expected!r}'
        elif f'"{result.request.target.partition("shopdesk")[2]}"' not in (
            result.text
        ):
            yield f'{_name(result)} got {result.text!r}'


def _outcome_problems(scene: Scene) -> Iterator[str]:
    last_by_request: dict[Request, AttemptResult] = {}
    for result in scene.callers.results:
        last_by_request[result.request] = result
        if result.outcome == 'not_run' and _effects_then(scene, result):
            yield f'{_name(result)} heard not_run after it had run'
        if result.outcome == 'ran' and not result.effects_then:
            yield f'{_name(result)} heard ran and it had not'
    for request, result in last_by_request.items():
        keyed = bool(request.key)
        if result.outcome == 'not_run' and keyed:
            if scene.records.effects(request):
                yield f'{_name(result)} heard not_run last and it ran'


def _effects_then(scene: Scene, result: AttemptResult) -> int:
    if result.request.key:
        return result.effects_then
    # Without a key, each attempt is a separate request.
    found = [
        *scene.records.generated(result.request),
        *scene.records.executed(result.request),
    ]
    return sum(each.request_id == result.request_id for each in found)


def _leaving_problems(scene: Scene) -> Iterator[str]:
    work = [
        *scene.records.starts,
        *((each.at_s, each.vm, '') for each in scene.records.executions),
    ]
    for at_s, vm, _ in work:
        left_at_s = scene.left_at_by_server.get(vm)
        if left_at_s is not None and at_s > left_at_s + LEAVING_NOTICE_S:
            late_s = at_s - left_at_s
            yield f'{vm} got new work {late_s:.1f} s after it began to leave'


def _refusal_problems(scene: Scene) -> Iterator[str]:
    for result in scene.callers.results:
        if not result.code:
            continue
        took_s = result.ended_at - result.started_at
        if took_s > REFUSAL_LIMIT_S + scene.frozen_s(result.vm):
            yield f'{_name(result)} heard {result.code} after {took_s:.1f} s'
        if result.code in RETRY_AFTER_CODES and result.retry_after_s is None:
            yield f'{_name(result)} heard {result.code} without Retry-After'


def _name(result: AttemptResult) -> str:
    return f'{result.request.kind} {result.request.name} at {result.vm}'

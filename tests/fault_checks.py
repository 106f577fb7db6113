"""
tests.fault_checks
~~~~~~~~~~~~~~~~~~

What must hold after each cell, from the records of the stand-ins.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from standins.engine_text import completion_text
from tests.fault_callers import Request, Told
from tests.fault_scene import Scene
from tests.fault_world import FIRST_BYTE_MS, PRICE

__all__ = ('find_problems', 'money_problems')

LEAVING_S = 5
# Claims, draws and loans wait for at most 13 s by the bounds in the
# settings; then come the queue and two servers with two waits each.
GIVEN_UP_S = 13 + 2 + 4 * FIRST_BYTE_MS / 1000
# What time can mend.
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
    """Least and most that may be billed, in tokens."""

    least: int
    most: int


def find_problems(scene: Scene) -> list[str]:
    """
    Check everything.

    :param scene: a cell that has settled.
    :returns: a sentence for each broken promise.
    """
    return [
        *scene.world.crashes,
        *scene.records.faults_seen,
        *money_problems(scene),
        *_order_problems(scene),
        *_answer_problems(scene),
        *_outcome_problems(scene),
        *_leaving_problems(scene),
        *_refusal_problems(scene),
    ]


def money_problems(scene: Scene) -> list[str]:
    """
    Compare the ledger with the records, and look for stranded credit.

    :param scene: the cell.
    :returns: a sentence for each difference.
    """
    return [
        problem
        for organisation in ('subject', 'others')
        for problem in _money_problems_of(scene, organisation)
    ]


def _money_problems_of(scene: Scene, organisation: str) -> Iterator[str]:
    told_by_request: dict[Request, list[Told]] = defaultdict(list)
    for told in scene.callers.told:
        if told.request.organisation == organisation:
            told_by_request[told.request].append(told)
    bills = [
        bill
        for request, attempts in told_by_request.items()
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
    scene: Scene, request: Request, attempts: list[Told]
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
    whole = {told.request_id for told in attempts if told.whole}
    for identity, cost in cost_by_identity.items():
        paid = bool(whole) if request.key else identity in whole
        yield Bill(cost if paid else 0, cost)


def _order_bill(scene: Scene, request: Request, attempts: list[Told]) -> Bill:
    # An order whose outcome nobody can know costs its price, because the
    # service may have done the work.
    executed = bool(scene.records.executed(request))
    doubtful = any(
        not told.whole and told.outcome != 'not_run' for told in attempts
    )
    return Bill(PRICE * executed, PRICE * (executed or doubtful))


def _order_problems(scene: Scene) -> Iterator[str]:
    counts = Counter(each.key for each in scene.records.executions if each.key)
    for key, count in counts.items():
        if count > 1:
            yield f'the order {key} ran {count} times'


def _answer_problems(scene: Scene) -> Iterator[str]:
    for told in scene.callers.told:
        if not told.whole:
            continue
        if told.request.is_chat:
            expected = completion_text(told.request.body)
            if told.text.split() != expected.split():
                yield f'{_name(told)} got {told.text!r}, not {expected!r}'
        elif f'"{told.request.target.partition("shopdesk")[2]}"' not in (
            told.text
        ):
            yield f'{_name(told)} got {told.text!r}'


def _outcome_problems(scene: Scene) -> Iterator[str]:
    last_by_request: dict[Request, Told] = {}
    for told in scene.callers.told:
        last_by_request[told.request] = told
        if told.outcome == 'not_run' and _effects_then(scene, told):
            yield f'{_name(told)} heard not_run after it had run'
        if told.outcome == 'ran' and not told.effects_then:
            yield f'{_name(told)} heard ran and it had not'
    for request, told in last_by_request.items():
        keyed = bool(request.key)
        if told.outcome == 'not_run' and keyed:
            if scene.records.effects(request):
                yield f'{_name(told)} heard not_run last and it ran'


def _effects_then(scene: Scene, told: Told) -> int:
    if told.request.key:
        return told.effects_then
    # Without a key, each attempt is a request of its own.
    found = [
        *scene.records.generated(told.request),
        *scene.records.executed(told.request),
    ]
    return sum(each.request_id == told.request_id for each in found)


def _leaving_problems(scene: Scene) -> Iterator[str]:
    work = [
        *scene.records.starts,
        *((each.at_s, each.vm, '') for each in scene.records.executions),
    ]
    for at_s, vm, _ in work:
        left_at_s = scene.left_at_by_server.get(vm)
        if left_at_s is not None and at_s > left_at_s + LEAVING_S:
            late_s = at_s - left_at_s
            yield f'{vm} got new work {late_s:.1f} s after it began to leave'


def _refusal_problems(scene: Scene) -> Iterator[str]:
    for told in scene.callers.told:
        if not told.code:
            continue
        took_s = told.ended_at - told.started_at
        if took_s > GIVEN_UP_S + scene.frozen_s(told.vm):
            yield f'{_name(told)} heard {told.code} after {took_s:.1f} s'
        if told.code in RETRY_AFTER_CODES and told.retry_after_s is None:
            yield f'{_name(told)} heard {told.code} without Retry-After'


def _name(told: Told) -> str:
    return f'{told.request.kind} {told.request.name} at {told.vm}'

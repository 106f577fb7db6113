"""
eelgrassfork.cli_fleet
~~~~~~~~~~~~~~~~~~~~~~

Commands on budgets and running routers.
"""

import getpass
import secrets
from typing import Any, Final

from .budget_admin import TopUp, apply_top_up, ledger_key, read_budget
from .cli_common import Session, print_json, print_line, run_session
from .ledger import BudgetView
from .router_admin import (
    RouterCall,
    RouterError,
    call_router,
    find_operator_address,
    read_operator_key,
)
from .vm_list import VmList

__all__ = (
    'budget_show',
    'budget_top_up',
    'router_drain',
    'router_dump',
    'router_list',
)

_OPERATION_ID_BYTES: Final = 8


def budget_top_up(
    budget: str,
    amount: int,
    *,
    settings: str,
    operation_id: str = '',
    if_granted: int | None = None,
) -> None:
    """
    Grant tokens to a budget, at most once per operation id.

    :param budget: fleet/organisation/budget.
    :param amount: number of tokens, above 0.
    :param settings: settings file of any router of the fleet.
    :param operation_id: idempotency key of the top-up, for safe retries;
        defaults to a new one that contains the login name.
    :param if_granted: total of granted tokens as reported by budget show;
        the top-up is rejected if the total has changed.
    """
    name = operation_id or _new_operation_id()
    # Printed before the call: needed to retry if the response is lost.
    print_line(f'operation id {name}')

    async def action(session: Session) -> bool:
        key = await _ledger_key(session, budget)
        change = TopUp(budget, name, amount, if_granted)
        return await apply_top_up(session.platform, key, change)

    if run_session(settings, action):
        print_line(f'{budget} was granted {amount} tokens')
    else:
        print_line(f'{budget} had been granted {amount} tokens by {name}')


def budget_show(budget: str, *, settings: str) -> None:
    """
    Show the tokens granted to a budget and their use.

    :param budget: fleet/organisation/budget.
    :param settings: settings file of any router of the fleet.
    """

    async def action(session: Session) -> BudgetView:
        key = await _ledger_key(session, budget)
        return await read_budget(session.platform, key, budget)

    print_json(run_session(settings, action)._asdict())


def router_list(*, settings: str) -> None:
    """
    List the routers registered at the platform.

    :param settings: settings file of any router of the fleet.
    """

    async def action(session: Session) -> VmList:
        return await session.platform.vms()

    for record in run_session(settings, action).vms:
        if record.role == 'router':
            place = f'{record.failure_domain}  {record.vm}  {record.state}'
            print_line(f'{place}  {record.operator_address}')


def router_drain(
    vm: str, *, settings: str, operator_key_file: str, address: str = ''
) -> None:
    """
    Drain a router: it finishes its requests and exits.

    :param vm: name of the VM.
    :param settings: settings file of any router of the fleet.
    :param operator_key_file: file with the operator key.
    :param address: operator address of the router, to skip the look-up at
        the platform.
    """
    call = RouterCall(
        address, 'POST', '/drain', read_operator_key(operator_key_file)
    )
    _call(settings, vm, call)
    print_line(f'{vm} is draining')


def router_dump(
    vm: str, *, settings: str, operator_key_file: str, address: str = ''
) -> None:
    """
    Show the state of a router.

    :param vm: name of the VM.
    :param settings: settings file of any router of the fleet.
    :param operator_key_file: file with the operator key.
    :param address: operator address of the router, to skip the look-up at
        the platform.
    """
    call = RouterCall(
        address, 'GET', '/state', read_operator_key(operator_key_file)
    )
    print_json(_call(settings, vm, call))


def _new_operation_id() -> str:
    # The login name identifies the author of a concurrent top-up to an
    # operator whose own top-up is rejected.
    suffix = secrets.token_hex(_OPERATION_ID_BYTES)
    return f'op-{getpass.getuser()}-{suffix}'


async def _ledger_key(session: Session, budget: str) -> str:
    accepted = await session.bundles.accepted()
    if accepted.held is None:
        raise RouterError('no_bundle', 'no bundle has been accepted yet')
    return ledger_key(accepted.held.bundle, budget)


def _call(settings: str, vm: str, call: RouterCall) -> Any:
    async def action(session: Session) -> Any:
        address = call.address
        if not address:
            vm_list = await session.platform.vms()
            address = find_operator_address(vm_list.vms, vm)
        return await call_router(session.http, call._replace(address=address))

    return run_session(settings, action)

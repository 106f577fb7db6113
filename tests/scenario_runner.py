"""
tests.scenario_runner
~~~~~~~~~~~~~~~~~~~~~

Runs scripted scenarios of operators, faults and callers on complete routers.

A scenario is JSON with comments: routers and backend servers with their
placement, bundle sources of fleets, and steps. The first field of a step is
its verb, implemented by the method ``do_<verb>``, and the target; the others
are options. The option ``fails`` is the error code that the step must raise.
"""

import json
import tempfile

import msgspec
import trio

from eelgrassfork.budget_admin import (
    TopUp,
    apply_top_up,
    ledger_key,
    read_budget,
)
from eelgrassfork.bundle_aliases import Aliases
from eelgrassfork.bundle_lookup import find_caller, find_service
from eelgrassfork.bundle_merge import merge_sources
from eelgrassfork.bundle_merge_files import merged_texts, write_merged
from eelgrassfork.bundle_source import compile_parts, read_sources
from eelgrassfork.bundle_store import BundleStore
from eelgrassfork.bundle_submit import submit, submit_merged
from eelgrassfork.errors import EelgrassError
from eelgrassfork.manifest import Manifest
from eelgrassfork.signed_file import seal_bundle

from . import bundles
from .router_fleet import RouterFleet

__all__ = ('Scenario', 'StepFailed')

_TICK_S = 0.05


class StepFailed(AssertionError):
    """A step did not have the outcome that the scenario expects."""


class Scenario:
    """A scenario, decoded from its file."""

    def __init__(self, content, nursery):
        self._content = content
        self.fleet = RouterFleet(
            nursery,
            content['routers'],
            {
                vm: (each['service'], each['place'], each.get('model', ''))
                for vm, each in content.get('servers', {}).items()
            },
        )
        self._directories = {
            name: bundles.write_sources(sources)
            for name, sources in content['sources'].items()
        }
        self._signed = {}

    async def run(self):
        await self.fleet.start_servers()
        for number, step in enumerate(self._content['steps'], 1):
            try:
                await self._step(step)
            except StepFailed as error:
                raise StepFailed(f'step {number} {step}: {error}') from None

    async def _step(self, step):
        (verb, target), *options = step.items()
        step_options = dict(options)
        code = step_options.pop('fails', None)
        try:
            await getattr(self, f'do_{verb}')(target, **step_options)
        except EelgrassError as error:
            if error.code != code:
                raise StepFailed(f'unexpected error {error}') from error
        else:
            if code is not None:
                raise StepFailed(f'did not fail with {code}')

    def _platform(self, at):
        return self.fleet.platform.for_client(at or 'operator')

    async def do_start(self, vms):
        await self.fleet.start(*(() if vms == 'all' else vms))

    async def do_restart(self, vm):
        await self.fleet.restart(vm)

    async def do_kill(self, vm):
        self.fleet.kill(vm)

    async def do_cut(self, places, apart=()):
        """Partition places from all others, or only from those in ``apart``."""
        if apart:
            self.fleet.partition(places, apart)
        else:
            self.fleet.isolate(*places)

    async def do_heal(self, _):
        self.fleet.heal()

    async def do_platform(self, state):
        self.fleet.platform.set_faults(down=state == 'down')

    async def do_wait(self, seconds, then=None):
        await trio.sleep(seconds)
        if then is not None:
            await self._step(then)

    async def do_together(self, steps):
        failures = []

        async def attempt(step):
            try:
                await self._step(step)
            except StepFailed as error:
                failures.append(f'{step}: {error}')

        async with trio.open_nursery() as nursery:
            for step in steps:
                nursery.start_soon(attempt, step)
        if failures:
            raise StepFailed('; '.join(failures))

    async def do_edit(self, source, into, change):
        content = json.loads(json.dumps(self._content['sources'][source]))
        for kind, by_name in change.items():
            for name, fields in by_name.items():
                content.setdefault(kind, {}).setdefault(name, {}).update(fields)
        self._content['sources'][into] = content
        self._directories[into] = bundles.write_sources(content)

    async def do_merge(self, names, into, renames=None, settled=True):
        pair = tuple(self._directories[name] for name in names)
        merger = merge_sources(
            *(read_sources([each]) for each in pair), Aliases(renames or {})
        )
        if bool(merger.unresolved()) is settled:
            raise StepFailed(f'clashes: {merger.conflicts}')
        out = tempfile.mkdtemp()
        write_merged(merged_texts(merger, pair), out)
        self._directories[into] = out

    async def do_sign(self, source, into, base, by=''):
        parts = compile_parts(read_sources([self._directories[source]]))
        manifest = Manifest(base + 1, (), base, by)
        self._signed[into] = seal_bundle(manifest, parts, bundles.KEY)

    async def do_submit(self, name, at='', merge=False):
        store = BundleStore(self._platform(at), bundles.TRUSTED)
        held = self._signed[name]
        if merge:
            await submit_merged(store, held, bundles.KEY)
        else:
            await submit(store, held, await store.accepted())

    async def do_top_up(self, budget, amount, operation, at='', read=None):
        platform = self._platform(at)
        accepted = await BundleStore(platform, bundles.TRUSTED).accepted()
        key = ledger_key(accepted.held.bundle, budget)
        await apply_top_up(
            platform, key, TopUp(budget, operation, amount, read)
        )

    async def do_granted(self, budget, gives):
        held = (await self.fleet.store.accepted()).held
        key = ledger_key(held.bundle, budget)
        view = await read_budget(self.fleet.platform, key, budget)
        _check(gives, view.granted)
        if view.spent > view.granted:
            raise StepFailed(f'spent {view.spent} of {view.granted} tokens')

    async def do_offer(self, name, to, sender):
        """Offer a signed bundle to a router, as a peer that holds it would."""
        offer = {'manifest': self._signed[name].signed.envelope}
        rollout = self.fleet.routers[to].rollout
        await rollout._serve_offer(f'{sender}.0', offer)

    async def do_versions(self, expected, within=0):
        """Wait for the active versions by VM; ``all`` applies to other VMs."""
        found = {}
        deadline = trio.current_time() + within
        while True:
            found = self.fleet.versions()
            expected_by_vm = {
                vm: expected.get(vm, expected.get('all')) for vm in found
            }
            if expected_by_vm == found:
                return
            if trio.current_time() >= deadline:
                raise StepFailed(f'active versions are {found}')
            await trio.sleep(_TICK_S)

    async def do_never_below(self, floor, for_s):
        """Check that the active versions by VM stay at or above a minimum."""
        deadline = trio.current_time() + for_s
        while trio.current_time() < deadline:
            found = self.fleet.versions()
            for vm, version in floor.items():
                # A starting router has no version and serves no requests.
                if 0 < found.get(vm, 0) < version:
                    raise StepFailed(f'active versions are {found}')
            await trio.sleep(_TICK_S)

    async def do_finds(self, vm, service, fleet, gives=None):
        """Resolve a service name at a router for a caller of a fleet."""
        bundle = self.fleet.routers[vm].rollout.current
        found = find_service(bundle, service, fleet)
        _check(gives, found and found.name)

    async def do_knows(self, vm, key, gives=None):
        bundle = self.fleet.routers[vm].rollout.current
        fleet = self.fleet.domains_by_vm[vm].partition('/')[0]
        caller = find_caller(bundle, bundles.key_hash(key), fleet)
        _check(gives, caller and caller.budget)

    async def do_chat(self, vm, key, model, status, code=None):
        body = msgspec.json.encode(
            {
                'model': model,
                'max_tokens': 16,
                'messages': [{'role': 'user', 'content': 'hello'}],
            }
        )
        path = '/v1/chat/completions'
        answer = await self.fleet.call(vm, 'POST', path, key, body)
        _check_answer(answer, status, code)

    async def do_look_up(self, vm, key, service, status, code=None):
        path = f'/services/{service}/stock'
        answer = await self.fleet.call(vm, 'GET', path, key)
        _check_answer(answer, status, code)


def _check(expected, found):
    if expected != found:
        raise StepFailed(f'expected {expected}, found {found}')


def _check_answer(answer, status, code):
    response, body = answer
    error = msgspec.json.decode(body).get('error', {})
    _check((status, code), (response.status, error.get('code')))

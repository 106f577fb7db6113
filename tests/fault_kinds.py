"""
tests.fault_kinds
~~~~~~~~~~~~~~~~~

The faults: how each strikes, and how it is mended.
"""

from collections.abc import Callable
from typing import Final

import trio

from standins.engine_answers import respond_completion, respond_stream
from standins.engine_text import parse_chat
from standins.serving import respond_json
from tests.fault_scene import Scene
from tests.fault_world import FIRST_BYTE_MS

__all__ = ('FAULTS', 'SERVER_FAULTS', 'drain_router', 'server_of', 'strike')

Strike = Callable[[Scene, str], None]

# Longer than a heartbeat, a report and a wait for a draw.
OUTAGE_S = 10
SHORT_S = 3
# Longer than it takes a lease to lapse, and than the lateness after which a router catches up.
LONG_S = 25
DELISTED_AFTER_S = 5
STALE_S = 20


def killed(scene: Scene, vm: str) -> None:
    """The process ends at once; its VM is delisted soon."""
    scene.world.kill(vm)
    scene.later(DELISTED_AFTER_S, scene.delist)
    scene.later(DELISTED_AFTER_S + 1, lambda: scene.replace_router(vm))


def killed_listed(scene: Scene, vm: str) -> None:
    """The list still has the dead VM after its replacement serves."""
    world = scene.world
    world.kill(vm)
    world.platform.set_faults(stale_vms=True)
    scene.later(1, lambda: scene.replace_router(vm))
    scene.later(STALE_S, lambda: world.platform.set_faults(stale_vms=False))


def restarted(scene: Scene, vm: str) -> None:
    """The process ends at once and is started again on the same VM."""
    scene.world.kill(vm)
    scene.later(1, lambda: scene.world.start_router(vm))


def unlisted(scene: Scene, vm: str) -> None:
    """A new router serves that the list does not have yet."""
    world = scene.world
    world.platform.set_faults(stale_vms=True)

    async def start() -> None:
        known = set(world.routers())
        await scene.replace_router(vm)
        new = list(set(world.routers()) - known)
        await world.wait_ready(new)
        await scene.send_round(new)

    scene.later(0, start)
    scene.later(STALE_S, lambda: world.platform.set_faults(stale_vms=False))


def frozen_short(scene: Scene, vm: str) -> None:
    """The process stops for less than its callers wait."""
    scene.world.freeze(vm)
    scene.later(SHORT_S, lambda: scene.world.thaw(vm))


def frozen_long(scene: Scene, vm: str) -> None:
    """The process stops, its callers go elsewhere, and it goes on later."""
    scene.world.freeze(vm)
    scene.later(SHORT_S, scene.callers.go_away)
    scene.later(LONG_S, lambda: scene.world.thaw(vm))


def cut_from(platform: bool, peers: bool) -> Strike:
    """The failure domain is separated."""

    def cut(scene: Scene, vm: str) -> None:
        world, domain = scene.world, vm[0]
        others = world.hosts_beyond(domain) if peers else []
        others += ['platform'] if platform else []
        world.cut(domain, others)
        scene.later(OUTAGE_S, lambda: world.join(domain, others))

    return cut


def platform_with(**faults: object) -> Strike:
    """The platform fails for all its clients."""
    mended = dict.fromkeys(faults, 0)

    def fail(scene: Scene, vm: str) -> None:
        platform = scene.world.platform
        platform.set_faults(**faults)
        scene.later(OUTAGE_S, lambda: platform.set_faults(**mended))

    return fail


def lost_answer(scene: Scene, vm: str) -> None:
    """The router's next write takes effect, and its answer is lost."""

    async def lose(call) -> None:
        call.respond = lambda *_: call.abort()

    scene.before_next_write(vm, lose)


def lost_race(scene: Scene, vm: str) -> None:
    """Another writer is faster than the router's next write."""

    async def race(call) -> None:
        objects = scene.world.platform.core.objects
        key = call.path.removeprefix('/v1/objects/')
        stored = objects.get(key)
        if stored is not None:
            objects.put(key, stored.body, stored.version)
        elif key.startswith('claims/'):
            others = [each for each in scene.world.routers() if each != vm]
            await scene.callers.send(others[-1], scene.subject)

    scene.before_next_write(vm, race)


def drain_router(scene: Scene, vm: str) -> None:
    """
    Drain a router, and replace it once its process has ended.

    :param scene: the cell.
    :param vm: the router.
    """
    host = scene.world.hosts_by_vm[vm]
    host.part.drain.begin('the cell asked for it')

    async def replace() -> None:
        while vm not in scene.world.gone_vms:
            await trio.sleep(1)
            if scene.world.hosts_by_vm[vm] is not host:
                return
        await scene.delist()
        await scene.replace_router(vm)

    scene.later(1, replace)


def none(scene: Scene, vm: str) -> None:
    """Nothing fails."""


def server_of(scene: Scene, vm: str) -> str:
    """
    Tell which server the subject is sent to.

    :param scene: the cell.
    :param vm: the router.
    :returns: the server, or the one that is likely before it is chosen.
    """
    kind = 'engine' if scene.subject.is_chat else 'desk'
    return scene.probes.server or f'{kind}-{vm[0]}1'


def server_killed(scene: Scene, vm: str) -> None:
    """The backend server ends at once and is replaced."""
    server = server_of(scene, vm)
    if server in scene.world.gone_vms:
        return
    scene.world.kill(server)
    scene.later(DELISTED_AFTER_S, scene.delist)
    scene.later(DELISTED_AFTER_S, lambda: scene.replace_server(server))


def server_silent(scene: Scene, vm: str) -> None:
    """Connections open now stay silent for good; new ones work."""
    scene.world.network.silence(vm, server_of(scene, vm))


def server_with(**faults: object) -> Strike:
    """The backend server fails for a while."""
    working = {'silent': False, 'late_ms': 0}

    def fail(scene: Scene, vm: str) -> None:
        part = scene.world.hosts_by_vm[server_of(scene, vm)].part
        part.set_faults(**faults)
        scene.later(OUTAGE_S, lambda: part.set_faults(**working))

    return fail


def server_crossed(scene: Scene, vm: str) -> None:
    """The backend server answers with answers to other requests."""
    host = scene.world.hosts_by_vm[server_of(scene, vm)]
    crossed = (
        _cross_engine(host.part)
        if scene.subject.is_chat
        else _cross_desk(host.part)
    )
    scene.later(OUTAGE_S, crossed)


def server_leaving(scene: Scene, vm: str) -> None:
    """The backend server is listed as leaving, and another takes over."""
    server = server_of(scene, vm)
    scene.leave_server(server)
    scene.later(1, lambda: scene.replace_server(server))


def caller_gone(scene: Scene, vm: str) -> None:
    """The caller closes its connection."""
    scene.callers.go_away()


def caller_retries(scene: Scene, vm: str) -> None:
    """The caller sends the request with its key to another router."""
    others = [each for each in scene.world.routers() if each[0] != vm[0]]
    scene.spawn(scene.callers.send, others[0], scene.subject)


def _cross_engine(engine) -> Callable[[], None]:
    route = ('POST', '/v1/chat/completions')
    original = engine._handlers_by_route[route]

    async def crossed(call) -> None:
        others = list(engine.generations_by_id.values())
        chat = parse_chat(call.body)
        request_id = call.headers_by_name['x-request-id']
        if request_id not in engine.generations_by_id:
            call.request_id = request_id
            engine._submit(call, chat)
        other = next(each for each in others if each.spec.chat != chat)
        call.request_id = other.spec.request_id
        if chat.stream:
            await respond_stream(call, engine.fault_injector, other, 0)
        else:
            await respond_completion(call, engine.fault_injector, other)

    def mend() -> None:
        engine._handlers_by_route[route] = original

    engine._handlers_by_route[route] = crossed
    return mend


def _cross_desk(desk) -> Callable[[], None]:
    original = desk._answer

    async def crossed(call) -> None:
        call.request_id = call.headers_by_name['x-request-id']
        desk._execute(call)
        call.request_id = 'req-of-another'
        await respond_json(call, {'target': '/another'})

    def mend() -> None:
        desk._answer = original

    desk._answer = crossed
    return mend


def at_issuer(fault: Strike) -> Strike:
    """The fault strikes the router that issued the key."""

    def strike_issuer(scene: Scene, vm: str) -> None:
        fault(scene, 'b2')

    return strike_issuer


SERVER_FAULTS: Final[dict[str, Strike]] = {
    'server_killed': server_killed,
    'server_silent': server_silent,
    'server_mute': server_with(silent=True),
    'server_late': server_with(late_ms=FIRST_BYTE_MS * 1.5),
    'server_slow': server_with(late_ms=FIRST_BYTE_MS * 0.7),
    'server_crossed': server_crossed,
    'server_leaving': server_leaving,
}
FAULTS: Final[dict[str, Strike]] = {
    'killed': killed,
    'killed_listed': killed_listed,
    'restarted': restarted,
    'unlisted': unlisted,
    'frozen_short': frozen_short,
    'frozen_long': frozen_long,
    'cut_platform': cut_from(platform=True, peers=False),
    'cut_peers': cut_from(platform=False, peers=True),
    'cut_both': cut_from(platform=True, peers=True),
    'platform_down': platform_with(down=True),
    'platform_slow': platform_with(delay_s=3),
    'platform_late': platform_with(delay_s=0.4),
    'lost_answer': lost_answer,
    'lost_race': lost_race,
    **SERVER_FAULTS,
    'caller_gone': caller_gone,
    'caller_retries': caller_retries,
}
# Faults that do not meet each step.
OTHER_FAULTS: Final[dict[str, Strike]] = {
    'none': none,
    'issuer_killed': at_issuer(killed),
    'issuer_frozen': at_issuer(frozen_long),
    'issuer_cut': at_issuer(FAULTS['cut_both']),
}


def strike(scene: Scene, fault: str) -> Callable[[str], None]:
    """
    Make the strike of a fault for a probe.

    :param scene: the cell.
    :param fault: name of the fault.
    :returns: takes the router's VM.
    """
    return lambda vm: (FAULTS | OTHER_FAULTS)[fault](scene, vm)

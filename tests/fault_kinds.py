"""
tests.fault_kinds
~~~~~~~~~~~~~~~~~

Faults of the matrix: how each is injected and how it is cleared.
"""

from collections.abc import Callable
from typing import Final

import trio

from standins.engine_answers import respond_completion, respond_stream
from standins.engine_text import parse_chat
from standins.serving import respond_json
from tests.fault_scene import Scene
from tests.fault_world import FIRST_BYTE_MS

__all__ = (
    'FAULTS',
    'SERVER_FAULTS',
    'drain_router',
    'server_of',
    'make_injector',
)

Injector = Callable[[Scene, str], None]

# Longer than a heartbeat interval, a report interval and the wait for a draw.
OUTAGE_S = 10
SHORT_S = 3
# Longer than the lease duration, and than the lateness after which a router
# catches up as after a freeze.
LONG_S = 25
DELISTED_AFTER_S = 5
STALE_S = 20


def killed(scene: Scene, vm: str) -> None:
    """The process is killed; its VM is delisted after a few seconds."""
    scene.world.kill(vm)
    scene.schedule(DELISTED_AFTER_S, scene.delist)
    scene.schedule(DELISTED_AFTER_S + 1, lambda: scene.replace_router(vm))


def killed_listed(scene: Scene, vm: str) -> None:
    """The process is killed; its VM stays listed while a replacement serves."""
    world = scene.world
    world.kill(vm)
    world.platform.set_faults(stale_vms=True)
    scene.schedule(1, lambda: scene.replace_router(vm))
    scene.schedule(STALE_S, lambda: world.platform.set_faults(stale_vms=False))


def restarted(scene: Scene, vm: str) -> None:
    """The process is killed and restarted on the same VM."""
    scene.world.kill(vm)
    scene.schedule(1, lambda: scene.world.start_router(vm))


def unlisted(scene: Scene, vm: str) -> None:
    """A new router serves before the VM list contains it."""
    world = scene.world
    world.platform.set_faults(stale_vms=True)

    async def start() -> None:
        known = set(world.routers())
        await scene.replace_router(vm)
        new = list(set(world.routers()) - known)
        await world.wait_ready(new)
        await scene.send_round(new)

    scene.schedule(0, start)
    scene.schedule(STALE_S, lambda: world.platform.set_faults(stale_vms=False))


def frozen_short(scene: Scene, vm: str) -> None:
    """The process is suspended for less than the callers' time-outs."""
    scene.world.freeze(vm)
    scene.schedule(SHORT_S, lambda: scene.world.thaw(vm))


def frozen_long(scene: Scene, vm: str) -> None:
    """The process is suspended; callers disconnect before it resumes."""
    scene.world.freeze(vm)
    scene.schedule(SHORT_S, scene.callers.disconnect_subject)
    scene.schedule(LONG_S, lambda: scene.world.thaw(vm))


def cut_from(platform: bool, peers: bool) -> Injector:
    """Partition the failure domain from the platform, its peers or both."""

    def cut(scene: Scene, vm: str) -> None:
        world, domain = scene.world, vm[0]
        others = world.hosts_outside(domain) if peers else []
        others += ['platform'] if platform else []
        world.cut(domain, others)
        scene.schedule(OUTAGE_S, lambda: world.join(domain, others))

    return cut


def platform_with(**faults: object) -> Injector:
    """Inject faults of the platform for all its clients."""
    cleared = dict.fromkeys(faults, 0)

    def fail(scene: Scene, vm: str) -> None:
        platform = scene.world.platform
        platform.set_faults(**faults)
        scene.schedule(OUTAGE_S, lambda: platform.set_faults(**cleared))

    return fail


def lost_answer(scene: Scene, vm: str) -> None:
    """The router's next write takes effect, but its response is lost."""

    async def lose(call) -> None:
        call.respond = lambda *_: call.abort()

    scene.before_next_write(vm, lose)


def lost_race(scene: Scene, vm: str) -> None:
    """Another writer changes the object before the router's next write."""

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
    Drain a router, and start a replacement once its process has ended.

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

    scene.schedule(1, replace)


def none(scene: Scene, vm: str) -> None:
    """Inject no fault."""


def server_of(scene: Scene, vm: str) -> str:
    """
    Return the backend server that the subject is sent to.

    :param scene: the cell.
    :param vm: the router.
    :returns: VM of the server; the likely one if none is chosen yet.
    """
    kind = 'engine' if scene.subject.is_chat else 'desk'
    return scene.probes.server or f'{kind}-{vm[0]}1'


def server_killed(scene: Scene, vm: str) -> None:
    """The backend server is killed and replaced."""
    server = server_of(scene, vm)
    if server in scene.world.gone_vms:
        return
    scene.world.kill(server)
    scene.schedule(DELISTED_AFTER_S, scene.delist)
    scene.schedule(DELISTED_AFTER_S, lambda: scene.replace_server(server))


def server_silent(scene: Scene, vm: str) -> None:
    """Open connections stop carrying data for good; new ones work."""
    scene.world.network.silence(vm, server_of(scene, vm))


def server_with(**faults: object) -> Injector:
    """Inject faults of the backend server's stand-in for a limited time."""
    working = {'silent': False, 'late_ms': 0}

    def fail(scene: Scene, vm: str) -> None:
        part = scene.world.hosts_by_vm[server_of(scene, vm)].part
        part.set_faults(**faults)
        scene.schedule(OUTAGE_S, lambda: part.set_faults(**working))

    return fail


def server_crossed(scene: Scene, vm: str) -> None:
    """The backend server responds with the answers of other requests."""
    host = scene.world.hosts_by_vm[server_of(scene, vm)]
    crossed = (
        _swap_engine_answers(host.part)
        if scene.subject.is_chat
        else _swap_desk_answers(host.part)
    )
    scene.schedule(OUTAGE_S, crossed)


def server_leaving(scene: Scene, vm: str) -> None:
    """The backend server is listed as leaving, and a replacement starts."""
    server = server_of(scene, vm)
    scene.leave_server(server)
    scene.schedule(1, lambda: scene.replace_server(server))


def caller_gone(scene: Scene, vm: str) -> None:
    """The caller closes its connection."""
    scene.callers.disconnect_subject()


def caller_retries(scene: Scene, vm: str) -> None:
    """The caller repeats the request under its key at another router."""
    others = [each for each in scene.world.routers() if each[0] != vm[0]]
    scene.spawn(scene.callers.send, others[0], scene.subject)


def _swap_engine_answers(engine) -> Callable[[], None]:
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

    def restore() -> None:
        engine._handlers_by_route[route] = original

    engine._handlers_by_route[route] = crossed
    return restore


def _swap_desk_answers(desk) -> Callable[[], None]:
    original = desk._answer

    async def crossed(call) -> None:
        call.request_id = call.headers_by_name['x-request-id']
        desk._execute(call)
        call.request_id = 'req-of-another'
        await respond_json(call, {'target': '/another'})

    def restore() -> None:
        desk._answer = original

    desk._answer = crossed
    return restore


def at_issuer(fault: Injector) -> Injector:
    """Inject a fault at the router that issued the key."""

    def inject_at_issuer(scene: Scene, vm: str) -> None:
        fault(scene, 'b2')

    return inject_at_issuer


SERVER_FAULTS: Final[dict[str, Injector]] = {
    'server_killed': server_killed,
    'server_silent': server_silent,
    'server_mute': server_with(silent=True),
    'server_late': server_with(late_ms=FIRST_BYTE_MS * 1.5),
    'server_slow': server_with(late_ms=FIRST_BYTE_MS * 0.7),
    'server_crossed': server_crossed,
    'server_leaving': server_leaving,
}
FAULTS: Final[dict[str, Injector]] = {
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
# Faults that are not combined with every step.
CONDITIONAL_FAULTS: Final[dict[str, Injector]] = {
    'none': none,
    'issuer_killed': at_issuer(killed),
    'issuer_frozen': at_issuer(frozen_long),
    'issuer_cut': at_issuer(FAULTS['cut_both']),
}


def make_injector(scene: Scene, fault: str) -> Callable[[str], None]:
    """
    Make the callback that injects a fault when a probe triggers.

    :param scene: the cell.
    :param fault: name of the fault.
    :returns: callback, called with the router's VM.
    """
    return lambda vm: (FAULTS | CONDITIONAL_FAULTS)[fault](scene, vm)

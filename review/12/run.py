"""
The store comes back from an older copy, and all processes are killed then.

Nothing was written to the ledger between the copy and the kill.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib3'))

from harness import (  # noqa: E402
    PORTS,
    TROUBLE,
    NotRun,
    Replica,
    Router,
    Store,
    answer_head,
    ask,
    choose_ports,
    run_case,
)

HOSTS = ['127.0.0.1', '127.0.0.2', '127.0.0.3']
PROMPT, EVENTS, STRIDE = 826, 49, 6
PREPAID = 1_000_000
PER_S = 15
BEFORE_S = 5
QUIET_S = 20
COPY_AGE_S = 5
AWAY_S = 0.5
RECOVERY_S = 12
AFTER_S = RECOVERY_S + 10
CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'r-reply', 'hostname': 'shop.example',
            'pathPrefix': '/reply/', 'kind': 'streaming', 'timeoutMs': 12000,
            'targetLatencyMs': 400, 'priority': 0, 'service': 'matcher',
            'maxAttempts': 1, 'sticky': True, 'streamResume': False,
            'gapAimMs': 300, 'allowAnonymous': False,
        },
    ],
    'services': [
        {
            'name': 'matcher', 'healthPath': '/healthz', 'maxConnections': 370,
            'engine': {'slots': 64, 'kvCapacity': 420042, 'stride': STRIDE},
        },
    ],
    'tenants': [
        {
            'name': 'huka270', 'apiKeys': ['xd9dnn2ctnfzs989anu6'],
            'prepaid': PREPAID,
        }
    ],
    'limits': {
        'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
        'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
    },
}


async def answer(replica, headers, body, writer):
    writer.write(
        answer_head(
            replica, headers, 'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
        )
    )
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(0.01)
        event = b'id: %d\ndata: piece\n\n' % number
        writer.write(b'%x\r\n%b\r\n' % (len(event), event))
        await writer.drain()
    writer.write(b'0\r\n\r\n')
    await writer.drain()
    return True


async def case(record, scratch, routers):
    choose_ports(HOSTS)
    store = Store()
    await store.start(HOSTS[0], PORTS['store'])
    store.put('config', 'main', CONFIGURATION)
    replicas = []
    for index in range(6):
        replica = Replica(store, record, f'i-m{index}', 'matcher', answer)
        replicas.append(replica)
        await replica.start(HOSTS[0], PORTS['replica'] + index)
    for index, host in enumerate(HOSTS):
        router = Router(
            f'edge-{index}', host, scratch, record, zone=f'zone-{index}'
        )
        routers.append(router)
        router.write_settings(
            f'{HOSTS[0]}:{PORTS["store"]}', HOSTS,
            [f'zone-{number}' for number in range(3)],
        )
        await router.start()
    for router in routers:
        await router.wait_ready()
    await asyncio.sleep(2)

    delivered = {}
    sent = {}
    whole = set()
    statuses = {}
    number = 0

    async def reply(number):
        identity = f'reply-{number}'
        request = '\r\n'.join(
            (
                f'POST /reply/{number} HTTP/1.1', 'Host: shop.example',
                f'X-Request-Id: {identity}', 'Content-Length: 0',
                'Api-Key: xd9dnn2ctnfzs989anu6', 'X-Model: m',
                f'X-Token-Counts: {PROMPT},{EVENTS * STRIDE}',
                f'X-Prompt-Prefix: aa1:119,bb{number:x}:707',
                'X-Request-Deadline: 12000', '', '',
            )
        ).encode()

        sent[identity] = time.monotonic()

        def count(got):
            delivered[identity] = len(got.events) * STRIDE

        try:
            got = await ask(routers[number % 3].front, request, count)
        except OSError:
            statuses['closed'] = statuses.get('closed', 0) + 1
            return
        statuses[got.status] = statuses.get(got.status, 0) + 1
        record.write(f'caller {identity}: {got.status}, {len(got.events)}')
        if got.status == 200 and got.whole and len(got.events) == EVENTS:
            whole.add(identity)

    def used():
        ran = {identity for one in replicas for identity in one.runs}
        return len(ran) * PROMPT + sum(delivered.values())

    def served(since):
        return sum(sent[identity] >= since for identity in whole)

    tasks = []

    async def load(per_s, for_s):
        nonlocal number
        began = time.monotonic()
        for tick in range(int(per_s * for_s)):
            await asyncio.sleep(max(0, began + tick / per_s - time.monotonic()))
            tasks.append(asyncio.create_task(reply(number)))
            number += 1

    await load(PER_S, BEFORE_S)
    await asyncio.gather(*tasks)
    before = served(0) / len(tasks)
    record.write(f'{used()} tokens used, {before:.2f} served')
    await asyncio.sleep(QUIET_S - COPY_AGE_S)
    copy = store.copy()
    await asyncio.sleep(COPY_AGE_S)
    if TROUBLE:
        store.go_away()
    for router in routers:
        router.send_signal(signal.SIGKILL)
    await asyncio.sleep(AWAY_S)
    if TROUBLE:
        record.write('store: back from the copy, which lacks only heartbeats')
        store.restore(copy)
        store.come_back()
    for router in routers:
        router.write_settings(
            f'{HOSTS[0]}:{PORTS["store"]}', HOSTS,
            [f'zone-{number}' for number in range(3)], False,
        )
        await router.start()
    back = time.monotonic()
    for router in routers:
        await router.wait_ready()
    statuses.clear()
    await load(PER_S, AFTER_S)
    await asyncio.gather(*tasks)
    asked = sum(at >= back + RECOVERY_S for at in sent.values())
    got = served(back + RECOVERY_S)
    record.write(
        f'{got} of {asked} served, {used()} of {PREPAID} tokens used, '
        f'{statuses}'
    )
    print(f'{before:.2f}', got, asked, used(), PREPAID, statuses)
    if before < 0.25:
        raise NotRun('too few requests were served before')
    return got >= asked / 4


run_case(HERE, case)

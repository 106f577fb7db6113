"""An entry of another writer names a service of which a route is added."""

import asyncio
import sys
from collections import Counter
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

HOSTS = ['127.0.0.1', '127.0.0.2']
REQUESTS = 60
CONTACT_S = 3.0
# A whole number, but none that any counter holds.
SLOTS = 10 ** 400


def route(name, service):
    return {
        'name': f'r-{name}', 'hostname': 'shop.example',
        'pathPrefix': f'/{name}/', 'kind': 'non_idempotent',
        'timeoutMs': 1000, 'targetLatencyMs': 200, 'priority': 2,
        'service': service, 'maxAttempts': 1, 'allowAnonymous': True,
    }


def configuration(version, *names):
    return {
        'version': version,
        'routes': [route(name, f'desk-{name}') for name in names],
        'services': [
            {
                'name': f'desk-{name}', 'healthPath': '/healthz',
                'maxConnections': 110,
            }
            for name in names
        ],
        'limits': {
            'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
        },
    }


async def answer_order(replica, headers, body, writer):
    await asyncio.sleep(0.045)
    text = b'{"order":"placed"}'
    writer.write(
        answer_head(replica, headers, f'Content-Length: {len(text)}') + text
    )
    await writer.drain()
    return True


async def case(record, scratch, routers):
    choose_ports(HOSTS)
    store = Store()
    await store.start(HOSTS[0], PORTS['store'])
    store.put('config', 'main', configuration(7, 'first'))
    for index in range(8):
        service = 'desk-first' if index < 4 else 'desk-later'
        replica = Replica(store, record, f'i-{index}', service, answer_order)
        await replica.start(HOSTS[0], PORTS['replica'] + index)
    for index, host in enumerate(HOSTS):
        router = Router(
            f'edge-{index}', host, scratch, record, zone=f'zone-{index}'
        )
        routers.append(router)
        router.write_settings(
            f'{HOSTS[0]}:{PORTS["store"]}', HOSTS, ['zone-0', 'zone-1']
        )
        await router.start()
    for router in routers:
        await router.wait_ready()
    await asyncio.sleep(2)
    if TROUBLE:
        store.put(
            'servers',
            'other-writer',
            {
                'service': 'desk-later', 'address': '127.0.0.1:9',
                'zone': 'zone-0', 'version': 'v1', 'slots': SLOTS,
                'state': 'ready', 'coldRemainingMs': 0, 'sequence': 1,
                'born': 1,
            },
        )
        record.write(f'another writer: an entry with {len(str(SLOTS))} digits')
    store.put('config', 'main', configuration(8, 'first', 'later'))
    record.write('operator: version 8 is acknowledged')
    await asyncio.sleep(2 * CONTACT_S)

    statuses = {'first': Counter(), 'later': Counter()}

    async def place(name, number):
        identity = f'{name}-{number}'
        request = '\r\n'.join(
            (
                f'POST /{name}/1 HTTP/1.1', 'Host: shop.example',
                f'X-Request-Id: {identity}', 'Content-Length: 2',
                'X-Request-Deadline: 1000', '', '{}',
            )
        ).encode()
        got = await ask(routers[number % len(routers)].front, request)
        statuses[name][got.status if got.whole else 'cut'] += 1
        record.write(f'caller {identity}: {got.status} {got.body[:90]!r}')

    for number in range(REQUESTS):
        for name in statuses:
            await place(name, number)
        await asyncio.sleep(0.05)
    record.write(f'{statuses}')
    print({name: dict(counts) for name, counts in statuses.items()})
    if statuses['first'][200] < REQUESTS / 2:
        raise NotRun('the first route is not served')
    return statuses['later'][200] >= statuses['first'][200] / 4


run_case(HERE, case)

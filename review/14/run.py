"""A new configuration allows larger bodies; callers keep their connections."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib3'))

from harness import (  # noqa: E402
    PORTS,
    TROUBLE,
    Connection,
    NotRun,
    Replica,
    Router,
    Store,
    answer_head,
    choose_ports,
    run_case,
)

HOST = '127.0.0.1'
CALLERS = 20
SMALL_BYTES = 600
FORMER_LIMIT_BYTES = 65_536
LIMIT_BYTES = 4_194_304
LARGE_BYTES = 110_000
CONFIG_S = 2.0


def configuration(version, max_body_bytes):
    return {
        'version': version,
        'routes': [
            {
                'name': 'r-order', 'hostname': 'shop.example',
                'pathPrefix': '/order/', 'kind': 'non_idempotent',
                'timeoutMs': 2000, 'targetLatencyMs': 200, 'priority': 2,
                'service': 'shopdesk', 'maxAttempts': 1,
                'allowAnonymous': False,
            },
        ],
        'services': [
            {
                'name': 'shopdesk', 'healthPath': '/healthz',
                'maxConnections': 110,
            },
        ],
        'tenants': [{'name': 'huka270', 'apiKeys': ['xd9dnn2ctnfzs989anu6']}],
        'limits': {
            'maxHeaderBytes': 16384, 'maxBodyBytes': max_body_bytes,
            'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
        },
    }


async def answer_order(replica, headers, body, writer):
    await asyncio.sleep(0.045)
    text = b'{"placed":%d}' % len(body)
    writer.write(
        answer_head(replica, headers, f'Content-Length: {len(text)}') + text
    )
    await writer.drain()
    return True


def request(identity, size):
    lines = (
        'POST /order/1 HTTP/1.1', 'Host: shop.example',
        f'X-Request-Id: {identity}', 'Api-Key: xd9dnn2ctnfzs989anu6',
        'X-Request-Deadline: 2000', f'Content-Length: {size}', '', '',
    )
    return '\r\n'.join(lines).encode() + b'x' * size


async def case(record, scratch, routers):
    choose_ports([HOST])
    store = Store()
    await store.start(HOST, PORTS['store'])
    former = FORMER_LIMIT_BYTES if TROUBLE else LIMIT_BYTES
    store.put('config', 'main', configuration(7, former))
    for index in range(4):
        replica = Replica(
            store, record, f'i-d{index}', 'shopdesk', answer_order
        )
        await replica.start(HOST, PORTS['replica'] + index)
    router = Router('edge-a-1', HOST, scratch, record)
    routers.append(router)
    router.write_settings(f'{HOST}:{PORTS["store"]}', [HOST], ['zone-a'])
    await router.start()
    await router.wait_ready()
    await asyncio.sleep(2)

    callers = [Connection(router.front) for _ in range(CALLERS)]
    statuses = []

    async def order(index, turn, size):
        identity = f'order-{turn}-{index}'
        answer = await callers[index].ask(request(identity, size))
        record.write(
            f'caller {index}, connection {callers[index].opened}: {identity} '
            f'of {size} bytes: {answer.status}'
        )
        statuses.append(answer.status)

    for turn in range(3):
        await asyncio.gather(
            *(order(index, turn, SMALL_BYTES) for index in range(CALLERS))
        )
        await asyncio.sleep(0.5)
    if set(statuses) != {200}:
        raise NotRun('orders failed before the change')
    store.put('config', 'main', configuration(8, LIMIT_BYTES))
    record.write('operator: version 8 is acknowledged')
    # Callers go on meanwhile, so that no connection is idle for long.
    for turn in range(3, 13):
        await asyncio.sleep(CONFIG_S / 5)
        await asyncio.gather(
            *(order(index, turn, SMALL_BYTES) for index in range(CALLERS))
        )
    statuses.clear()
    for turn in range(13, 16):
        await asyncio.gather(
            *(order(index, turn, LARGE_BYTES) for index in range(CALLERS))
        )
    denied = sum(400 <= status < 500 for status in statuses)
    record.write(f'denied: {denied} of {len(statuses)}')
    print('denied', denied, 'of', len(statuses))
    if not any(status == 200 for status in statuses):
        raise NotRun('no order was placed after the change')
    all_requests = len(statuses) + 13 * CALLERS
    return denied <= 5 + all_requests / 500


run_case(HERE, case)

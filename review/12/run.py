"""A replica ends in the middle of a stream while the router stands still."""

import asyncio
import signal
import sys
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

HOST = '127.0.0.1'
EVENTS = 40
EVENTS_BEFORE_CRASH = 15
PAUSE_S = 0.05
# Longer than `addrReuseS`.
RESTART_S = 2.2
FREEZE_S = 2.8

CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'r-reply', 'hostname': 'shop.example',
            'pathPrefix': '/reply/', 'kind': 'streaming', 'timeoutMs': 12000,
            'targetLatencyMs': 400, 'priority': 0, 'service': 'matcher',
            'maxAttempts': 1, 'sticky': True, 'streamResume': False,
            'gapAimMs': 400, 'allowAnonymous': True,
        },
    ],
    'services': [
        {
            'name': 'matcher', 'healthPath': '/healthz', 'maxConnections': 370,
            'engine': {'slots': 64, 'kvCapacity': 420042, 'stride': 6},
        },
    ],
    'limits': {
        'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
        'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
    },
}


async def case(record, scratch, routers):
    choose_ports([HOST])
    store = Store()
    await store.start(HOST, PORTS['store'])
    store.put('config', 'main', CONFIGURATION)
    reached = asyncio.Event()

    async def answer(replica, headers, body, writer):
        writer.write(
            answer_head(replica, headers, 'Content-Type: text/event-stream')
        )
        for number in range(1, EVENTS + 1):
            writer.write(b'id: %d\ndata: piece\n\n' % number)
            await writer.drain()
            record.write(f'replica {replica.identity} sends event {number}')
            if number == EVENTS_BEFORE_CRASH:
                reached.set()
            await asyncio.sleep(PAUSE_S)
        return False

    port = PORTS['replica']
    replica = Replica(store, record, 'i-aaaa', 'matcher', answer)
    await replica.start(HOST, port)
    router = Router('edge-a-1', HOST, scratch, record)
    routers.append(router)
    router.write_settings(f'{HOST}:{PORTS["store"]}', [HOST], ['zone-a'])
    await router.start()
    await router.wait_ready()
    await asyncio.sleep(2)

    request = '\r\n'.join(
        (
            'POST /reply/1 HTTP/1.1', 'Host: shop.example',
            'X-Request-Id: reply-1', 'Content-Length: 0', 'X-Model: m',
            'X-Token-Counts: 826,294', 'X-Prompt-Prefix: aa1:119,bb1:707',
            'X-Request-Deadline: 12000', '', '',
        )
    ).encode()
    caller = asyncio.create_task(ask(router.front, request))
    await asyncio.wait_for(reached.wait(), 10)
    if TROUBLE:
        router.send_signal(signal.SIGSTOP)
        await replica.crash()
        await asyncio.sleep(RESTART_S)
        replacement = Replica(store, record, 'i-bbbb', 'matcher', answer)
        await replacement.start(HOST, port)
        await asyncio.sleep(FREEZE_S - RESTART_S)
        router.send_signal(signal.SIGCONT)
    answer_got = await asyncio.wait_for(caller, 20)
    record.write(
        f'caller: {answer_got.status}, whole={answer_got.whole}, '
        f'{len(answer_got.events)} events of {EVENTS}'
    )
    if answer_got.status != 200 or not answer_got.events:
        raise NotRun('no stream began')
    return not answer_got.whole or answer_got.events == list(
        range(1, EVENTS + 1)
    )


run_case(HERE, case)

"""
tests.replayed_load
~~~~~~~~~~~~~~~~~~~

Replays requests of many routers to servers that report their load late,
without network and in simulated time.

The servers are those of the platform in what matters for placement: slots, a
prefill queue, steps that all running requests share, memory, a fixed speed and
a slowdown that changes many times a second.
"""

import math
import random
from collections import deque
from heapq import heappop, heappush
from typing import NamedTuple

from eelgrassfork.gateway.choice import (
    Candidate,
    ChoicePolicy,
    PlacementRequest,
    choose,
)
from eelgrassfork.gateway.expected_time import RequestSize
from eelgrassfork.gateway.records import ServerEntry, ServerLoad
from eelgrassfork.gateway.servers import Server

TICK_S = 0.02
STEP_S = 0.012
STEP_S_PER_REQUEST = 0.0015
PREFILL_S_PER_TOKEN = 0.00015
SLOTS = 24
MEMORY_TOKENS = 80_000
# Part of a tick that is prefilled in while prompts wait for it.
PREFILL_SHARE = 0.7
SLOWDOWN_TIME_S = 0.2
SLOWDOWN_DEVIATION = 0.5
CONTENTION_TIME_S = 4
SHARED_TOKENS = 1200


class Load(NamedTuple):
    """
    One replay.

    :param figures: 3 for the former choice, 4 with slowdown.
    :param rate_per_server: mean requests a second.
    :param min_age_s: least age of the reports, measured by the server.
    :param common_age: all routers read reports of the same moments, which
        change once in ``max_age_s``.
    :param answers_only: routers know what answers of their own requests
        report, as in operation; the ages then depend on the number of routers.
    :param contention: standard deviation of a part of the slowdown (as a
        logarithm) that lasts for seconds.
    :param size: factor of the sizes of requests.
    :param false_report: what the first server always reports.
    :param keyed: part of the requests that have one of 12 shared prefixes.
    """

    routers: int = 83
    servers: int = 16
    figures: int = 4
    seed: int = 1
    duration_s: float = 20
    rate_per_server: float = 2.2
    min_age_s: float = 0.1
    max_age_s: float = 1.5
    common_age: bool = False
    answers_only: bool = False
    contention: float = 0.0
    keyed: float = 0.0
    size: float = 1.0
    false_report: ServerLoad | None = None
    policy: ChoicePolicy = ChoicePolicy()


class Request:
    def __init__(self, router, arrived_at, rng, size=1.0):
        self.router = router
        self.arrived_at = arrived_at
        self.prompt = int(size * min(8000, rng.lognormvariate(7.0, 0.8)))
        self.output = 1 + int(size * min(600, rng.expovariate(1 / 110)))
        self.max_output = 2 * self.output
        self.key = ''
        self.left = 0.0
        self.first_s = math.inf
        self.expected = None

    @property
    def tokens(self):
        return self.prompt + self.max_output


class Machine:
    """One server, and the reports of its last seconds."""

    def __init__(self, index, rng, contention=0.0):
        self.contention = contention
        self.contended = contention * rng.gauss(0, 1)
        self.entry = ServerEntry(
            f's{index}', 'm', '', f'd{index % 3}', SLOTS, 1, 1
        )
        self.speed = 0.7 + rng.random()
        self.rng = rng
        self.deviation = 0.0
        self.slowdown = 1.0
        self.queue = deque()
        self.prefilling = deque()
        self.decoding = []
        self.progress = 0.0
        self.tokens = 0
        self.ended = []
        self.cache = deque(maxlen=6)
        self.reports = deque(maxlen=128)

    @property
    def running(self):
        return len(self.prefilling) + len(self.decoding)

    def tick(self, now_s):
        self.deviation = self.next_deviation(
            self.deviation, SLOWDOWN_DEVIATION, SLOWDOWN_TIME_S
        )
        self.contended = self.next_deviation(
            self.contended, self.contention, CONTENTION_TIME_S
        )
        deviation = self.deviation + self.contended
        self.slowdown = min(max(math.exp(deviation), 0.3), 8)
        self.admit()
        work_s = TICK_S / (self.speed * self.slowdown)
        work_s -= self.prefill(work_s * PREFILL_SHARE, now_s)
        step_s = STEP_S + STEP_S_PER_REQUEST * len(self.decoding)
        self.progress += work_s / step_s
        while self.decoding and self.decoding[0][0] <= self.progress:
            request = heappop(self.decoding)[-1]
            self.tokens -= request.tokens
            self.ended.append(request)
        self.reports.append(
            ServerLoad(self.running, len(self.queue), SLOTS, self.slowdown)
        )

    def next_deviation(self, deviation, usual, lasts_s):
        part = TICK_S / lasts_s
        noise = usual * math.sqrt(2 * part)
        return deviation + noise * self.rng.gauss(0, 1) - part * deviation

    def admit(self):
        while self.queue and self.running < SLOTS:
            if self.running and (
                self.tokens + self.queue[0].tokens > MEMORY_TOKENS
            ):
                return
            request = self.queue.popleft()
            self.tokens += request.tokens
            request.left = request.prompt
            if request.key:
                if request.key in self.cache:
                    request.left -= SHARED_TOKENS
                    self.cache.remove(request.key)
                self.cache.append(request.key)
            self.prefilling.append(request)

    def prefill(self, work_s, now_s):
        tokens = work_s / PREFILL_S_PER_TOKEN
        left = tokens
        while self.prefilling and left > 0:
            request = self.prefilling[0]
            done = min(left, request.left)
            request.left -= done
            left -= done
            if request.left <= 0:
                self.prefilling.popleft()
                request.first_s = now_s + TICK_S - request.arrived_at
                heappush(
                    self.decoding,
                    (self.progress + request.output, id(request), request),
                )
        return (tokens - left) * PREFILL_S_PER_TOKEN

    def report(self, age_s):
        ticks = min(len(self.reports), 1 + int(age_s / TICK_S))
        return self.reports[-ticks] if ticks else None


class Replay:
    def __init__(self, load):
        self.load = load
        # The requests and machines are the same for each policy.
        rng = random.Random(load.seed)
        self.machines = [
            Machine(index, random.Random(rng.random()), load.contention)
            for index in range(load.servers)
        ]
        self.arrivals = random.Random(rng.random())
        self.ages = random.Random(rng.random())
        self.source = random.Random(rng.random())
        self.views_by_router = {}
        self.requests = []

    def run(self):
        """Replay, and return the sorted times to the first event."""
        ticks = int(self.load.duration_s / TICK_S)
        for tick in range(ticks):
            now_s = 10 + tick * TICK_S
            for machine in self.machines:
                machine.tick(now_s)
                self.observe(machine, now_s + TICK_S)
            for request in self.arriving(now_s + TICK_S):
                self.place(request, now_s + TICK_S)
        return sorted(
            # A request without an event has waited at least until now.
            min(request.first_s, now_s - request.arrived_at)
            for request in self.requests
        )

    def arriving(self, now_s):
        rate = self.load.rate_per_server * self.load.servers
        # A burst of one second in five, with the same mean.
        rate *= 2.2 if now_s % 5 < 1 else 0.7
        count = 0
        left = self.arrivals.expovariate(1)
        while left < rate * TICK_S:
            count += 1
            left += self.arrivals.expovariate(1)
        for _ in range(count):
            router = self.arrivals.randrange(self.load.routers)
            request = Request(router, now_s, self.arrivals, self.load.size)
            # The first prefix has half of these requests.
            prefix = min(self.arrivals.randrange(24), 12)
            if self.arrivals.random() < self.load.keyed:
                request.key = f'k{prefix}'
                request.prompt += SHARED_TOKENS
            self.requests.append(request)
            yield request

    def views(self, router):
        if router not in self.views_by_router:
            self.views_by_router[router] = [
                Server(machine.entry) for machine in self.machines
            ]
        return self.views_by_router[router]

    def age_s(self, now_s):
        load = self.load
        if load.common_age:
            return load.min_age_s + now_s % (load.max_age_s - load.min_age_s)
        return self.ages.uniform(load.min_age_s, load.max_age_s)

    def place(self, request, now_s):
        views = self.views(request.router)
        if not self.load.answers_only:
            for view, machine in zip(views, self.machines):
                self.tell(view, machine, now_s, self.age_s(now_s))
        size = RequestSize(
            request.prompt,
            request.max_output,
            SHARED_TOKENS if request.key else 0,
        )
        choice = choose(
            self.candidates(views, now_s),
            PlacementRequest(
                f'd{request.router % 3}',
                request.key,
                size=size,
                routers=self.load.routers,
            ),
            self.load.policy,
            self.source,
        )
        if not choice.server_id:
            choice = choice._replace(
                server_id=self.source.choice(views).entry.id
            )
        index = int(choice.server_id[1:])
        request.expected = choice.expected
        view = views[index]
        view.in_flight += 1
        view.pending_prefill_tokens += request.prompt
        view.tokens_in_flight += request.tokens
        self.machines[index].queue.append(request)

    def tell(self, view, machine, now_s, age_s):
        report = machine.report(age_s)
        if self.load.false_report and machine is self.machines[0]:
            report = self.load.false_report
        if self.load.figures == 3:
            report = ServerLoad(*report[:3])
        view.update_load(report, now_s - age_s)

    def candidates(self, views, now_s):
        # As in Selector: three figures are placed by the former rule.
        is_timed = any(view.reports_slowdown for view in views)
        return [
            Candidate(
                view.entry.id,
                view.entry.failure_domain,
                view.load(now_s),
                view.waiting(now_s),
                view.entry.slots,
                view.pending_prefill_tokens,
                timing=view.timing(now_s, MEMORY_TOKENS) if is_timed else None,
            )
            for view in views
        ]

    def observe(self, machine, now_s):
        index = self.machines.index(machine)
        for _, _, request in machine.decoding:
            self.begin(request, index, now_s)
        for request in machine.ended:
            self.begin(request, index, now_s)
            view = self.views(request.router)[index]
            view.in_flight -= 1
            view.tokens_in_flight -= request.tokens
        machine.ended.clear()

    def begin(self, request, index, now_s):
        if request.left > -1:
            request.left = -2
            view = self.views(request.router)[index]
            view.pending_prefill_tokens -= request.prompt
            if self.load.answers_only:
                self.tell(view, self.machines[index], now_s, 0)
            if request.expected is not None:
                view.learn_speed(request.expected, request.first_s, now_s)


def mean(times):
    return sum(times) / len(times)


def worst_tenth(times):
    """Return the mean of the longest tenth of sorted times."""
    return mean(times[-len(times) // 10 :])

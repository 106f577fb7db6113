"""
bench.profile
~~~~~~~~~~~~~

Load profiles: arrivals, requests and faults, read from JSON with comments.
"""

import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from eelgrassfork.json_comments import read_document

__all__ = ('Fault', 'Planned', 'Profile', 'Stream', 'plan', 'read_profile')

DIRECTORY = Path(__file__).parent / 'profiles'
CHAT = '/v1/chat/completions'
PIXEL = 'A'


class Stream(msgspec.Struct, forbid_unknown_fields=True):
    """
    Stream of similar requests.

    :ivar rate: pairs of second and arrivals per second, interpolated linearly.
    :ivar turns: minimum and maximum number of turns of a conversation.
    :ivar think_s: mean pause between two turns.
    :ivar once: whether each request has its own idempotency key.
    :ivar deadline_ms: time-out sent in a request header; 0 sends none.
    """

    kind: str
    rate: list[tuple[float, float]]
    organisations: int = 1
    model: str = ''
    method: str = 'GET'
    target: str = CHAT
    prompt_words: tuple[int, int] = (20, 60)
    words: tuple[int, int] = (20, 60)
    max_tokens: int = 100
    images: int = 0
    image_bytes: int = 0
    body_bytes: int = 0
    turns: tuple[int, int] = (1, 1)
    think_s: float = 1
    stream: bool = True
    once: bool = False
    timeout_s: float = 30
    deadline_ms: int = 0


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    """
    Scheduled change of the faults of a stand-in.

    :ivar where: name of the stand-in.
    :ivar set: body of the ``POST /admin/faults`` request.
    """

    at_s: float
    where: str
    set: dict[str, Any]


class Profile(msgspec.Struct, forbid_unknown_fields=True):
    """Streams of requests, and faults during the run."""

    name: str
    seed: int
    seconds: float
    streams: dict[str, Stream]
    faults: list[Fault] = []


class Planned(NamedTuple):
    """
    Scheduled conversation of one or more requests.

    :param at_s: scheduled start of the first request.
    :param bodies: body of each turn.
    :param pauses_s: scheduled pause before each turn after the first.
    """

    at_s: float
    stream: str
    organisation: int
    number: int
    bodies: tuple[bytes, ...]
    pauses_s: tuple[float, ...]


def read_profile(name: str) -> Profile:
    """
    Read a profile.

    :param name: path of a file, or a name within bench/profiles.
    :returns: the profile.
    """
    path = Path(name)
    if not path.suffix:
        path = DIRECTORY / f'{name}.json'
    document = read_document(str(path))
    return msgspec.convert(document.content, Profile)


def plan(profile: Profile, seed: int | None = None) -> list[Planned]:
    """
    Build the schedule; it depends only on the profile and the seed.

    :param profile: the profile.
    :param seed: overrides the seed of the profile.
    :returns: conversations in order of their starts.
    """
    base = profile.seed if seed is None else seed
    planned = [
        conversation
        for name, stream in profile.streams.items()
        for conversation in _plan_stream(
            name, stream, profile.seconds, random.Random(f'{base}/{name}')
        )
    ]
    return sorted(planned, key=lambda each: each.at_s)


def _plan_stream(
    name: str, stream: Stream, seconds: float, source: random.Random
) -> Iterator[Planned]:
    highest = max(rate for _, rate in stream.rate)
    at = 0.0
    number = 0
    while True:
        # Thinning: arrivals are drawn at the highest rate and accepted with
        # the ratio of the current rate to it.
        at += source.expovariate(highest)
        if at >= seconds:
            return
        if source.random() * highest >= rate_at(stream.rate, at):
            continue
        number += 1
        bodies = tuple(_bodies(stream, number, source))
        pauses = tuple(
            source.expovariate(1 / stream.think_s) for _ in bodies[1:]
        )
        organisation = source.randrange(stream.organisations)
        yield Planned(at, name, organisation, number, bodies, pauses)


def rate_at(points: list[tuple[float, float]], at_s: float) -> float:
    """
    Interpolate a rate linearly.

    :param points: pairs of second and rate, in order of time.
    :param at_s: time in seconds.
    :returns: arrivals per second; 0 outside the range of the points.
    """
    for (left, low), (right, high) in zip(points, points[1:], strict=False):
        if left <= at_s <= right:
            fraction = (at_s - left) / (right - left) if right > left else 1
            return low + fraction * (high - low)
    return 0


def _bodies(
    stream: Stream, number: int, source: random.Random
) -> Iterator[bytes]:
    if stream.kind != 'chat':
        yield source.randbytes(stream.body_bytes // 2).hex().encode()
        return
    messages: list[dict[str, Any]] = []
    for turn in range(source.randint(*stream.turns)):
        if turn:
            answer = _words(source, source.randint(*stream.words))
            messages.append({'role': 'assistant', 'content': answer})
        prompt = _words(source, source.randint(*stream.prompt_words))
        messages.append({'role': 'user', 'content': _content(stream, prompt)})
        words = source.randint(*stream.words)
        yield msgspec.json.encode(
            {
                'model': stream.model,
                'stream': stream.stream,
                'max_tokens': stream.max_tokens,
                'messages': messages,
                # Number of words in the answer of the engine stand-in.
                'metadata': {'words': str(words)},
            }
        )


def _content(stream: Stream, text: str) -> Any:
    if not stream.images:
        return text
    url = f'data:image/jpeg;base64,{PIXEL * stream.image_bytes}'
    image = {'type': 'image_url', 'image_url': {'url': url}}
    return [{'type': 'text', 'text': text}, *[image] * stream.images]


def _words(source: random.Random, count: int) -> str:
    return ' '.join(f'{source.getrandbits(20):05x}' for _ in range(count))

"""
bench.profile
~~~~~~~~~~~~~

Profiles of load: arrivals, requests and faults from JSON with comments.
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
    One kind of request.

    :ivar rate: points of second and arrivals a second, joined by lines.
    :ivar turns: fewest and most turns of a conversation.
    :ivar think_s: mean pause between two turns.
    :ivar once: whether each request carries an idempotency key of its own.
    :ivar deadline_ms: sent along; 0 for none.
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
    A change of a stand-in's faults.

    :ivar where: name of the stand-in.
    :ivar set: fields of its ``POST /admin/faults``.
    """

    at_s: float
    where: str
    set: dict[str, Any]


class Profile(msgspec.Struct, forbid_unknown_fields=True):
    """A load and what goes wrong during it."""

    name: str
    seed: int
    seconds: float
    streams: dict[str, Stream]
    faults: list[Fault] = []


class Planned(NamedTuple):
    """
    A conversation of one or more requests.

    :param at_s: intended start of the first request.
    :param bodies: body of each turn.
    :param pauses_s: intended pause before each turn after the first.
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
    Draw up the schedule; it depends on nothing but profile and seed.

    :param profile: what to plan.
    :param seed: in place of the profile's own.
    :returns: conversations in the order of their starts.
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
        # Arrivals at the highest rate, thinned out to the wanted one.
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
    Read a rate between its points.

    :param points: second and rate, in order of time.
    :param at_s: time in seconds.
    :returns: arrivals a second; 0 outside of the points.
    """
    for (left, low), (right, high) in zip(points, points[1:], strict=False):
        if left <= at_s <= right:
            part = (at_s - left) / (right - left) if right > left else 1
            return low + part * (high - low)
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
        asked = _words(source, source.randint(*stream.prompt_words))
        messages.append({'role': 'user', 'content': _content(stream, asked)})
        words = source.randint(*stream.words)
        yield msgspec.json.encode(
            {
                'model': stream.model,
                'stream': stream.stream,
                'max_tokens': stream.max_tokens,
                'messages': messages,
                # The stand-in's answer has so many words.
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

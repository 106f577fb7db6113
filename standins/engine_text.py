"""
standins.engine_text
~~~~~~~~~~~~~~~~~~~~

Parses chat requests and derives deterministic completions from them.
"""

import hashlib
from typing import Any, Final, NamedTuple

import msgspec

__all__ = (
    'InvalidChatRequest',
    'ChatRequest',
    'IMAGE_TOKENS',
    'completion_text',
    'completion_word',
    'parse_chat',
    'prefix_blocks',
)

BLOCK_WORDS: Final = 16
IMAGE_TOKENS: Final = 1024
DEFAULT_MAX_TOKENS: Final = 256
_MIN_WORDS: Final = 8
_LENGTH_SPREAD_WORDS: Final = 48
_DIGEST_BYTES: Final = 8
_WORD_BYTES: Final = 3


class InvalidChatRequest(Exception):
    """The body is not a valid chat request."""


class _Message(msgspec.Struct):
    role: str
    content: str | list[dict[str, Any]] | None = None


class _ChatBody(msgspec.Struct):
    model: str
    messages: list[_Message]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    metadata: dict[str, str] | None = None


class ChatRequest(NamedTuple):
    """
    A decoded chat request.

    :param seed: digest of model and prompt that determines the completion.
    :param words: words of the prompt, one token each.
    :param images: number of images in the prompt.
    :param uncapped_words: length of the completion without a token limit;
        taken from ``metadata.words`` if the request has it.
    :param max_tokens: limit on completion tokens in the body.
    """

    model: str
    seed: str
    words: tuple[str, ...]
    images: int
    stream: bool
    uncapped_words: int
    max_tokens: int

    @property
    def prompt_tokens(self) -> int:
        """Number of tokens in the prompt."""
        return len(self.words) + IMAGE_TOKENS * self.images


def parse_chat(body: bytes) -> ChatRequest:
    """
    Decode a chat request.

    :param body: JSON as in the OpenAI API.
    :returns: the request.
    :raises InvalidChatRequest: if a field is missing or has the wrong type.
    """
    try:
        chat = msgspec.json.decode(body, type=_ChatBody)
        requested_words = int((chat.metadata or {}).get('words', '0'))
    except (msgspec.DecodeError, ValueError) as error:
        raise InvalidChatRequest(str(error)) from None
    parts = [part for message in chat.messages for part in _parts(message)]
    texts = [part.get('text', '') for part in parts]
    words = tuple(' '.join(texts).split())
    seed = _digest(chat.model, *words)
    derived_words = _MIN_WORDS + seed[0] % _LENGTH_SPREAD_WORDS
    return ChatRequest(
        chat.model,
        seed.hex(),
        words,
        sum(part.get('type') == 'image_url' for part in parts),
        chat.stream,
        requested_words or derived_words,
        chat.max_completion_tokens or chat.max_tokens or DEFAULT_MAX_TOKENS,
    )


def completion_word(request: ChatRequest, number: int) -> str:
    """
    Return a word of the completion, which is the same on every engine.

    :param request: the chat request.
    :param number: index of the word, from 0.
    :returns: the word.
    """
    return _digest(request.seed, str(number))[:_WORD_BYTES].hex()


def completion_text(body: bytes, cap: int | None = None) -> str:
    """
    Return the complete text of a completion, for tests.

    :param body: body of the chat request.
    :param cap: additional limit on completion tokens, or ``None``.
    :returns: the words, separated by spaces.
    """
    request = parse_chat(body)
    limit = request.max_tokens if cap is None else min(cap, request.max_tokens)
    count = min(request.uncapped_words, limit)
    return ' '.join(completion_word(request, number) for number in range(count))


def prefix_blocks(request: ChatRequest) -> tuple[str, ...]:
    """
    Hash the full blocks of a prompt, each chained to its predecessors.

    :param request: the chat request.
    :returns: one hash per :data:`BLOCK_WORDS` words.
    """
    blocks = []
    previous = request.model
    words = request.words
    for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        block = words[start : start + BLOCK_WORDS]
        previous = _digest(previous, *block).hex()
        blocks.append(previous)
    return tuple(blocks)


def _parts(message: _Message) -> list[dict[str, Any]]:
    if isinstance(message.content, list):
        return message.content
    return [{'type': 'text', 'text': message.content or ''}]


def _digest(*texts: str) -> bytes:
    joined = '\0'.join(texts).encode()
    return hashlib.blake2b(joined, digest_size=_DIGEST_BYTES).digest()

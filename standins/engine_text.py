"""
standins.engine_text
~~~~~~~~~~~~~~~~~~~~

Chat requests, and the text that a stand-in engine derives from them.
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
    """The body is not a chat request."""


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
    What a generation needs to know.

    :param seed: what the answer is derived from.
    :param words: words of the prompt, each one token.
    :param images: images of the prompt.
    :param uncapped_words: length of the answer without a cap; set by
        ``metadata.words`` where the request has it.
    :param max_tokens: cap that the body asks for.
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
        """Tokens of the prompt."""
        return len(self.words) + IMAGE_TOKENS * self.images


def parse_chat(body: bytes) -> ChatRequest:
    """
    Decode a chat request.

    :param body: JSON as in the OpenAI API.
    :returns: the request.
    :raises BadChat: if a field is missing or has another type.
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
    Tell a word of the answer, the same at every engine.

    :param request: what is answered.
    :param number: number of the word from 0.
    :returns: the word.
    """
    return _digest(request.seed, str(number))[:_WORD_BYTES].hex()


def completion_text(body: bytes, cap: int | None = None) -> str:
    """
    Tell the whole answer to a request, for tests.

    :param body: the chat request.
    :param cap: cap on completion tokens, if other than the body's.
    :returns: the words, separated by spaces.
    """
    request = parse_chat(body)
    limit = request.max_tokens if cap is None else min(cap, request.max_tokens)
    count = min(request.uncapped_words, limit)
    return ' '.join(completion_word(request, number) for number in range(count))


def prefix_blocks(request: ChatRequest) -> tuple[str, ...]:
    """
    Hash the whole blocks of a prompt, each with all before it.

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

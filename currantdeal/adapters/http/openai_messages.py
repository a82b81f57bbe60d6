"""Requests in the format of the OpenAI API, as far as they are used.

Fields that only shape sampling are taken and passed over, since engines
speak a dialect of their own.
"""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

MAX_TOKENS = 131_072
DEFAULT_MAX_TOKENS = 512
"""Most output tokens where the caller names no number."""

TokenCount = Annotated[int, Meta(ge=1, le=MAX_TOKENS)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]


@dataclass(frozen=True, kw_only=True)
class ContentPart:
    """Part of a message's content; only text is supported."""

    type: str
    text: str = ""


@dataclass(frozen=True, kw_only=True)
class ChatMessage:
    """One message of a conversation."""

    role: Name
    content: str | list[ContentPart] | None = None


@dataclass(frozen=True, kw_only=True)
class StreamOptions:
    """Options of a streamed answer."""

    include_usage: bool | None = False


@dataclass(frozen=True, kw_only=True)
class ChatBody:
    """Body of ``POST /v1/chat/completions``."""

    model: Name
    messages: Annotated[list[ChatMessage], Meta(min_length=1)]
    max_tokens: TokenCount | None = None
    max_completion_tokens: TokenCount | None = None
    stream: bool | None = False
    stream_options: StreamOptions | None = None
    n: int | None = 1


@dataclass(frozen=True, kw_only=True)
class CompletionBody:
    """Body of ``POST /v1/completions``."""

    model: Name
    prompt: str | list[str]
    max_tokens: TokenCount | None = None
    stream: bool | None = False
    stream_options: StreamOptions | None = None
    n: int | None = 1

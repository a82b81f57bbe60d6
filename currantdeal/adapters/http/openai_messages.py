"""Request bodies of the OpenAI API, limited to the supported fields.

Fields that only control sampling are accepted and ignored, since engines use
their own protocol.
"""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

MAX_TOKENS = 131_072
DEFAULT_MAX_TOKENS = 512
"""Limit of output tokens if the caller sets none."""

TokenCount = Annotated[int, Meta(ge=1, le=MAX_TOKENS)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]


@dataclass(frozen=True, kw_only=True)
class ContentPart:
    """Part of the content of a message; only text is supported."""

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

"""What the system asks of model engines.

Every method raises an ``UpstreamError`` whose ``ran`` tells whether the work
ran.  Another engine dialect is another implementation of the port.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from currantdeal.core import FencingNumber, RequestId, Upstream
from currantdeal.state import EngineOrder


@dataclass(frozen=True, kw_only=True)
class PrefillRequest:
    """Compute the KV cache of a prompt."""

    request_id: RequestId
    model: str
    prompt: str
    priority: int = 0
    fence: FencingNumber = FencingNumber(0)


@dataclass(frozen=True, kw_only=True)
class PrefillResult:
    """A KV cache that waits on its engine to be taken up.

    Parameters
    ----------
    kv_id : str
        Name of the result on the engine.
    prompt_tokens : int
        Measured length of the prompt.
    cached_tokens : int
        Leading tokens found in the engine's prefix cache.
    expires_in_s : float
        Seconds from the answer until the engine drops the result.
    """

    kv_id: str
    prompt_tokens: int
    cached_tokens: int
    expires_in_s: float


@dataclass(frozen=True, kw_only=True)
class ImportRequest:
    """Let a decode engine fetch a KV cache from a prefill engine."""

    request_id: RequestId
    kv_id: str
    source_address: str
    pieces: int
    fence: FencingNumber = FencingNumber(0)


@dataclass(frozen=True, kw_only=True)
class DecodeRequest:
    """Generate output from an imported KV cache.

    Parameters
    ----------
    offset : int
        Number of output tokens already received; the stream goes on there.
    max_tokens : int
        Most output tokens, counted from the beginning.
    """

    request_id: RequestId
    model: str
    offset: int = 0
    max_tokens: int
    priority: int = 0
    fence: FencingNumber = FencingNumber(0)


@dataclass(frozen=True, kw_only=True)
class OutputChunk:
    """One output token or the end of the output.

    Parameters
    ----------
    offset : int
        Position of the token in the output, from 0; for the end, the number
        of tokens in the whole output.
    finish_reason : str
        Empty but on the last chunk, which carries no text.
    """

    offset: int
    text: str = ""
    finish_reason: str = ""


@dataclass(frozen=True, kw_only=True)
class HeldMemory:
    """Engine memory that is held for a request."""

    request_id: RequestId
    pieces: int
    age_s: float
    fence: FencingNumber


class EnginePort(Protocol):
    """Client of model engines."""

    def prefill(
        self, upstream: Upstream, request: PrefillRequest, *, timeout_s: float
    ) -> PrefillResult:
        """Compute and keep the KV cache of a prompt."""

    def import_kv(
        self, upstream: Upstream, request: ImportRequest, *, timeout_s: float
    ) -> None:
        """Fetch a KV cache into the decode engine's memory."""

    def decode(
        self, upstream: Upstream, request: DecodeRequest, *, silence_s: float
    ) -> Iterator[OutputChunk]:
        """Yield output tokens in order, then the end.

        A silence longer than ``silence_s`` raises ``UpstreamSilentError``;
        the stream can then be resumed on a new connection by its offset.
        Closing the iterator closes the connection but cancels nothing.
        """

    def cancel(self, upstream: Upstream, request_id: RequestId) -> None:
        """Free all memory held for a request; unknown requests are fine."""

    def held(self, upstream: Upstream) -> tuple[HeldMemory, ...]:
        """Return what the engine holds, for prefill results too."""

    def order(
        self, upstream: Upstream, order: EngineOrder, fence: FencingNumber
    ) -> None:
        """Order the engine to load, unload or change its roles."""

"""Protocol for the operations on model engines.

Every method raises an ``UpstreamError`` whose ``ran`` states whether the work
ran.  Each engine dialect is a separate implementation of this port.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from currantdeal.core import FencingNumber, RequestId, Upstream
from currantdeal.state import EngineOrder


@dataclass(frozen=True, kw_only=True)
class PrefillRequest:
    """Request to compute the KV cache of a prompt."""

    request_id: RequestId
    model: str
    prompt: str
    priority: int = 0
    fence: FencingNumber = FencingNumber(0)


@dataclass(frozen=True, kw_only=True)
class PrefillResult:
    """A KV cache held on the engine that computed it until it is imported.

    Parameters
    ----------
    kv_id : str
        Id of the result on the engine.
    prompt_tokens : int
        Measured length of the prompt.
    cached_tokens : int
        Leading tokens found in the engine's prefix cache.
    expires_in_s : float
        Seconds from the response until the engine drops the result.
    """

    kv_id: str
    prompt_tokens: int
    cached_tokens: int
    expires_in_s: float


@dataclass(frozen=True, kw_only=True)
class ImportRequest:
    """Request that a decode engine fetch a KV cache from a prefill engine."""

    request_id: RequestId
    kv_id: str
    source_address: str
    pieces: int
    fence: FencingNumber = FencingNumber(0)


@dataclass(frozen=True, kw_only=True)
class DecodeRequest:
    """Request to generate output from an imported KV cache.

    Parameters
    ----------
    offset : int
        Number of output tokens already received; the stream continues there.
    max_tokens : int
        Maximum number of output tokens, counted from the beginning.
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
        Empty except on the last chunk, which carries no text.
    """

    offset: int
    text: str = ""
    finish_reason: str = ""


@dataclass(frozen=True, kw_only=True)
class HeldMemory:
    """Memory that an engine holds for a request."""

    request_id: RequestId
    pieces: int
    age_s: float
    fence: FencingNumber


class EnginePort(Protocol):
    """Client for model engines."""

    def prefill(
        self, upstream: Upstream, request: PrefillRequest, *, timeout_s: float
    ) -> PrefillResult:
        """Compute the KV cache of a prompt and hold it on the engine."""

    def import_kv(
        self, upstream: Upstream, request: ImportRequest, *, timeout_s: float
    ) -> None:
        """Fetch a KV cache into the decode engine's memory."""

    def decode(
        self, upstream: Upstream, request: DecodeRequest, *, silence_s: float
    ) -> Iterator[OutputChunk]:
        """Yield the output tokens in order, then the end of the output.

        Receiving nothing for longer than ``silence_s`` raises
        ``UpstreamTimeoutError``; the stream can then be resumed on a new
        connection by its offset.  Closing the iterator closes the connection
        but does not cancel the generation.
        """

    def cancel(self, upstream: Upstream, request_id: RequestId) -> None:
        """Free all memory held for a request; no error if it is unknown."""

    def held(self, upstream: Upstream) -> tuple[HeldMemory, ...]:
        """Return all memory the engine holds, also for prefill results."""

    def order(
        self, upstream: Upstream, order: EngineOrder, fence: FencingNumber
    ) -> None:
        """Order the engine to load or unload a model, or to change roles."""

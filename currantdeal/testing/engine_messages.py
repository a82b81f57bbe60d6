"""Define the stand-in engine's fault settings, events and profile.

Tests send the fault settings and read the events over HTTP.
"""

from dataclasses import dataclass
from enum import Enum

from currantdeal.testing.engine_model import EngineModel


class Stage(str, Enum):
    """Stage of a request at which the engine process can be made to exit."""

    NONE = ""
    PREFILL = "prefill"
    EXPORT = "export"
    IMPORT = "import"
    DECODE = "decode"


@dataclass(frozen=True, kw_only=True)
class EngineFaults:
    """Faults that a control call sets; fields that it omits keep their value.

    Parameters
    ----------
    stall_transfer : bool
        Exports stall after half of the KV cache.
    silence_open_streams : int
        Streams that are open when this number is increased send nothing more
        but stay open; streams opened later work.
    silence_all_streams : bool
        No stream sends anything, but all stay open.
    slow_factor : float
        Factor on the duration of every step and prefill.
    refuse : bool
        New prefills and imports are refused with the error ``full``.
    die_at : Stage
        The process exits at once, without notice to its peers, when a request
        reaches this stage.
    lie_silent : bool
        Requests get no response and renewals stop; connections stay open.
    stop_renewing : bool
        Renewals stop while requests are still served.
    """

    stall_transfer: bool = False
    silence_open_streams: int = 0
    silence_all_streams: bool = False
    slow_factor: float = 1.0
    refuse: bool = False
    die_at: Stage = Stage.NONE
    lie_silent: bool = False
    stop_renewing: bool = False


class EventKind(str, Enum):
    """Kind of a journal entry."""

    PREFILL = "prefill"
    EXPORT = "export"
    IMPORT = "import"
    DECODE = "decode"
    FINISH = "finish"
    CANCEL = "cancel"
    KV_EXPIRED = "kv-expired"
    ORDER = "order"


@dataclass(frozen=True, kw_only=True)
class EngineEvent:
    """One entry of the journal.

    Parameters
    ----------
    wall_s : float
        Time of the event, in seconds since the epoch.
    tokens : int
        Prompt tokens computed, or output tokens generated.
    fence : int
        Fencing number that came with the request.
    """

    kind: EventKind
    wall_s: float
    request_id: str = ""
    tokens: int = 0
    fence: int = 0
    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class EngineProfile:
    """Configuration of a stand-in engine.

    Parameters
    ----------
    model : EngineModel
        Its speed and size.
    models : tuple of str
        Names of the models that are loaded at start.
    load_lag_s : float
        Age of the reported load, in seconds.
    event_loss : float
        Fraction of cache events that are lost.
    seed : int
        Seed of the random loss of cache events.
    """

    upstream_id: str
    model: EngineModel
    models: tuple[str, ...] = ("nube-assistant",)
    checks_fencing: bool = True
    load_lag_s: float = 0.25
    event_loss: float = 0.1
    seed: int = 1

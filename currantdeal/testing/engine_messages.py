"""What the stand-in engine is told by tests, and what it tells them."""

from dataclasses import dataclass
from enum import Enum

from currantdeal.testing.engine_model import EngineModel


class Stage(str, Enum):
    """Part of a request in which the engine can be made to die."""

    NONE = ""
    PREFILL = "prefill"
    EXPORT = "export"
    IMPORT = "import"
    DECODE = "decode"


@dataclass(frozen=True, kw_only=True)
class EngineFaults:
    """Faults that a control call sets; a call replaces what it names.

    Parameters
    ----------
    stall_transfer : bool
        Exports send half of the KV cache and then nothing more.
    silence_open_streams : int
        Streams that are open when this number grows send nothing more,
        without being closed; later ones work.
    silence_all_streams : bool
        No stream sends anything.
    slow_factor : float
        Every step and prefill takes this many times as long.
    refuse : bool
        New prefills and imports are refused as full.
    die_at : Stage
        The process ends without a word when a request reaches this stage.
    lie_silent : bool
        Nothing is answered or renewed, connections stay open.
    stop_renewing : bool
        Requests are served, but the engine renews no more.
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
    """What the engine writes into its journal."""

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
        When it happened, in seconds since the epoch.
    tokens : int
        Prompt tokens computed, or output tokens given.
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
    """What a stand-in engine is built like.

    Parameters
    ----------
    model : EngineModel
        Its speed and size.
    models : tuple of str
        Names of the models it has loaded at start.
    load_lag_s : float
        Age of the load that is reported, in seconds.
    event_loss : float
        Share of cache events that get lost.
    seed : int
        Seed of what is random.
    """

    upstream_id: str
    model: EngineModel
    models: tuple[str, ...] = ("nube-assistant",)
    checks_fencing: bool = True
    load_lag_s: float = 0.25
    event_loss: float = 0.1
    seed: int = 1

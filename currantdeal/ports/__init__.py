"""Protocols for the outer services that the inner packages need."""

from currantdeal.ports.clock import (
    Clock,
)
from currantdeal.ports.engines import (
    DecodeRequest,
    EnginePort,
    HeldMemory,
    ImportRequest,
    OutputChunk,
    PrefillRequest,
    PrefillResult,
)
from currantdeal.ports.homes import (
    Grant,
    HomesPort,
    ReservationRequest,
)
from currantdeal.ports.members import (
    Member,
    MembersPort,
    MemberStatus,
)
from currantdeal.ports.metrics import (
    MetricsPort,
)
from currantdeal.ports.services import (
    Header,
    ServiceAnswer,
    ServiceCall,
    ServicePort,
)
from currantdeal.ports.state import (
    InstanceProgress,
    StatePort,
)

__all__ = [
    "Clock",
    "DecodeRequest",
    "EnginePort",
    "Grant",
    "Header",
    "HeldMemory",
    "HomesPort",
    "ImportRequest",
    "InstanceProgress",
    "Member",
    "MemberStatus",
    "MembersPort",
    "MetricsPort",
    "OutputChunk",
    "PrefillRequest",
    "PrefillResult",
    "ReservationRequest",
    "ServiceAnswer",
    "ServiceCall",
    "ServicePort",
    "StatePort",
]

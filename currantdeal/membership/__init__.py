"""Membership of instances, and the homes that keep upstreams' reservations.

The home of an upstream is the instance that keeps the ledger of its memory
reservations.
"""

from currantdeal.membership.entries import (
    EntriesAnswer,
    EntryAddress,
    choose_entries,
)
from currantdeal.membership.errors import MembershipError, WireError
from currantdeal.membership.grants import (
    HeldReservation,
    HeldReservations,
    digest_of,
)
from currantdeal.membership.home import Phase, UpstreamHome
from currantdeal.membership.home_messages import (
    HOME_CODEC,
    ClaimedGrant,
    Claims,
    ClaimsAnswer,
    ClaimsCall,
    GrowCall,
    HeldKey,
    HomeRefusal,
    PassedReports,
    ReserveCall,
    Sync,
    SyncAnswer,
)
from currantdeal.membership.home_plan import (
    HandOverHome,
    HomePlanner,
    PlanContext,
    PresenceTracker,
    TakeOverHome,
    plan_homes,
)
from currantdeal.membership.home_registry import (
    Cancel,
    HomeRegistry,
    HomeTimeouts,
)
from currantdeal.membership.load_wire import decode_loads, encode_loads
from currantdeal.membership.messages import (
    Ack,
    Exchange,
    Ping,
    PingRequest,
    Send,
)
from currantdeal.membership.placement import choose_home, home_candidates
from currantdeal.membership.probes import SwimTiming
from currantdeal.membership.swim import Swim
from currantdeal.membership.table import (
    MemberTable,
    first_incarnation,
    is_reachable,
    same_process,
)
from currantdeal.membership.wire import decode_message, encode_message

__all__ = [
    "Ack",
    "Cancel",
    "ClaimedGrant",
    "Claims",
    "ClaimsAnswer",
    "ClaimsCall",
    "EntriesAnswer",
    "EntryAddress",
    "Exchange",
    "GrowCall",
    "HOME_CODEC",
    "HandOverHome",
    "HeldKey",
    "HeldReservation",
    "HeldReservations",
    "HomePlanner",
    "HomeRefusal",
    "HomeRegistry",
    "HomeTimeouts",
    "MemberTable",
    "MembershipError",
    "PassedReports",
    "Phase",
    "Ping",
    "PingRequest",
    "PlanContext",
    "PresenceTracker",
    "ReserveCall",
    "Send",
    "Swim",
    "SwimTiming",
    "Sync",
    "SyncAnswer",
    "TakeOverHome",
    "UpstreamHome",
    "WireError",
    "choose_entries",
    "choose_home",
    "decode_loads",
    "decode_message",
    "digest_of",
    "encode_loads",
    "encode_message",
    "first_incarnation",
    "home_candidates",
    "is_reachable",
    "plan_homes",
    "same_process",
]

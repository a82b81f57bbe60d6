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
from currantdeal.membership.grants import GrantBook, HeldReservation, digest_of
from currantdeal.membership.home import Phase, UpstreamHome
from currantdeal.membership.home_book import BookLimits, Cancel, HomeBook
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
    GiveHome,
    HomePlanner,
    Presence,
    Surroundings,
    TakeHome,
    plan_homes,
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
    "BookLimits",
    "Cancel",
    "ClaimedGrant",
    "Claims",
    "ClaimsAnswer",
    "ClaimsCall",
    "EntriesAnswer",
    "EntryAddress",
    "Exchange",
    "GiveHome",
    "GrantBook",
    "GrowCall",
    "HOME_CODEC",
    "HeldReservation",
    "HeldKey",
    "HomeBook",
    "HomePlanner",
    "HomeRefusal",
    "MemberTable",
    "MembershipError",
    "PassedReports",
    "Phase",
    "Ping",
    "PingRequest",
    "Presence",
    "ReserveCall",
    "Send",
    "Surroundings",
    "Swim",
    "SwimTiming",
    "Sync",
    "SyncAnswer",
    "TakeHome",
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

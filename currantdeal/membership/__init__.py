"""Which instances are alive, and which of them is home of an upstream."""

from currantdeal.membership.entries import (
    EntriesAnswer,
    EntryAddress,
    choose_entries,
)
from currantdeal.membership.errors import MembershipError, WireError
from currantdeal.membership.grants import GrantBook, HeldGrant
from currantdeal.membership.messages import (
    Ack,
    Exchange,
    Ping,
    PingRequest,
    Send,
)
from currantdeal.membership.placement import choose_home, home_candidates
from currantdeal.membership.swim import Swim, SwimTiming
from currantdeal.membership.table import (
    MemberTable,
    first_incarnation,
    same_process,
)
from currantdeal.membership.wire import decode_message, encode_message

__all__ = [
    "Ack",
    "EntriesAnswer",
    "EntryAddress",
    "Exchange",
    "GrantBook",
    "HeldGrant",
    "MemberTable",
    "MembershipError",
    "Ping",
    "PingRequest",
    "Send",
    "Swim",
    "SwimTiming",
    "WireError",
    "choose_entries",
    "choose_home",
    "decode_message",
    "encode_message",
    "first_incarnation",
    "home_candidates",
    "same_process",
]

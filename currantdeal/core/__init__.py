"""Value types, errors and small functions that every package uses."""

from currantdeal.core.clocks import boot_time_s
from currantdeal.core.codec import DECODE_ERRORS, Codec
from currantdeal.core.digests import digest_parts
from currantdeal.core.errors import (
    CodecError,
    CoreError,
    CurrantdealError,
    KvExpiredError,
    LeaseExpiredError,
    ParseError,
    PortError,
    ReservationError,
    StaleFenceError,
    StateUnavailableError,
    UpstreamCrashedError,
    UpstreamError,
    UpstreamRefusedError,
    UpstreamTimeoutError,
    UpstreamUnreachableError,
)
from currantdeal.core.ids import (
    CallerId,
    DataCenterId,
    FencingNumber,
    GrantId,
    InstanceId,
    RegionId,
    RequestId,
    UpstreamId,
)
from currantdeal.core.outcome import Outcome, Ran, outcome_of
from currantdeal.core.prefixes import prefix_keys
from currantdeal.core.selectors import (
    Operator,
    Selector,
    Term,
    check_label,
    matches,
    parse_expression,
)
from currantdeal.core.upstreams import (
    Label,
    LoadReport,
    Role,
    Upstream,
    UpstreamKind,
)
from currantdeal.core.work import Work, WorkKind

__all__ = [
    "CallerId",
    "DECODE_ERRORS",
    "Codec",
    "CodecError",
    "CoreError",
    "CurrantdealError",
    "DataCenterId",
    "FencingNumber",
    "GrantId",
    "InstanceId",
    "KvExpiredError",
    "Label",
    "LeaseExpiredError",
    "LoadReport",
    "Operator",
    "Outcome",
    "ParseError",
    "PortError",
    "Ran",
    "RegionId",
    "RequestId",
    "ReservationError",
    "Role",
    "Selector",
    "StaleFenceError",
    "StateUnavailableError",
    "Term",
    "Upstream",
    "UpstreamCrashedError",
    "UpstreamError",
    "UpstreamId",
    "UpstreamKind",
    "UpstreamRefusedError",
    "UpstreamTimeoutError",
    "UpstreamUnreachableError",
    "Work",
    "WorkKind",
    "boot_time_s",
    "check_label",
    "digest_parts",
    "matches",
    "outcome_of",
    "parse_expression",
    "prefix_keys",
]

"""Scheduling decisions under load, without network, threads or clocks.

An entry is the instance that accepts and serves a request.  The home of an
upstream is the instance that keeps the ledger of its reservations.  Engine
memory is counted in pieces of fixed size.  Goodput is the rate of requests
answered within the latency targets for first output and for the time between
outputs.
"""

from currantdeal.policy.health.outliers import (
    OutlierDetector,
    SlownessStats,
    peer_group,
)
from currantdeal.policy.load.load_view import LoadEstimate, LoadView
from currantdeal.policy.memory.batch_limit import BatchLimit
from currantdeal.policy.memory.ledger import (
    Ledger,
    LedgerGrant,
    LedgerLimits,
    LedgerRefusal,
    LedgerRequest,
)
from currantdeal.policy.memory.waiters import Waiter, WaitQueue
from currantdeal.policy.placement.placement import Choice, Placement
from currantdeal.policy.placement.prefix_hints import BLOCK_TOKENS, PrefixHints
from currantdeal.policy.retries.retry import RetryBudget, RetryDecision
from currantdeal.policy.scheduling.admission import (
    Admission,
    Admitted,
    Refused,
    StartRate,
)
from currantdeal.policy.scheduling.estimates import Estimates
from currantdeal.policy.scheduling.fair_queue import FairQueue, Queued
from currantdeal.policy.scheduling.lengths import OutputLengths
from currantdeal.policy.scheduling.plans import GiveUp, Plan, Pools, Wait
from currantdeal.policy.scheduling.scheduler import Scheduler
from currantdeal.policy.scheduling.weights import EVEN_WEIGHTS, UserWeights

__all__ = [
    "Admission",
    "Admitted",
    "LedgerRequest",
    "BLOCK_TOKENS",
    "BatchLimit",
    "Choice",
    "EVEN_WEIGHTS",
    "Estimates",
    "FairQueue",
    "GiveUp",
    "Ledger",
    "LedgerGrant",
    "LedgerLimits",
    "LedgerRefusal",
    "LoadEstimate",
    "LoadView",
    "OutputLengths",
    "Placement",
    "Plan",
    "Pools",
    "PrefixHints",
    "Queued",
    "Refused",
    "RetryBudget",
    "RetryDecision",
    "Scheduler",
    "OutlierDetector",
    "SlownessStats",
    "StartRate",
    "UserWeights",
    "Wait",
    "Waiter",
    "WaitQueue",
    "peer_group",
]

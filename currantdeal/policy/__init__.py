"""Decisions under load, without network, threads or clocks."""

from currantdeal.policy.admission import (
    Admission,
    Admitted,
    Refused,
    StartRate,
)
from currantdeal.policy.fair_queue import FairQueue, Queued
from currantdeal.policy.ledger import (
    Ask,
    Ledger,
    LedgerGrant,
    LedgerLimits,
    LedgerRefusal,
)
from currantdeal.policy.lengths import OutputLengths
from currantdeal.policy.outliers import SlowUpstreams, Standing
from currantdeal.policy.placement import Choice, Placement
from currantdeal.policy.prefixes import BLOCK_TOKENS, PrefixHints
from currantdeal.policy.retry import RetryBudget, RetryDecision
from currantdeal.policy.weights import EVEN_WEIGHTS, UserWeights

__all__ = [
    "Admission",
    "Admitted",
    "Ask",
    "BLOCK_TOKENS",
    "Choice",
    "EVEN_WEIGHTS",
    "FairQueue",
    "Ledger",
    "LedgerGrant",
    "LedgerLimits",
    "LedgerRefusal",
    "OutputLengths",
    "Placement",
    "PrefixHints",
    "Queued",
    "Refused",
    "RetryBudget",
    "RetryDecision",
    "SlowUpstreams",
    "Standing",
    "StartRate",
    "UserWeights",
]

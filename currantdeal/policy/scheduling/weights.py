"""User weights of goodput and wasted prefill.

Load pattern: saturated system, where a request admitted on an uncertain
estimate may either answer one more caller or waste a prefill.  A single
compromise would fit no user: Pastelería Nube's long catalogue prompts would be
prefilled for answers that come late, and Ekundayo's engines would stay idle
because uncertain requests are refused.  The weights are reduced to one number,
the share of wasted prefill in their sum, which raises the quantile of the
output length that is reserved and the margins before the deadline at admission
and at the start.
"""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class UserWeights:
    """Weights of goodput and wasted prefill.

    Parameters
    ----------
    goodput : float
        Weight of requests answered within both latency targets.
    wasted_prefill : float
        Weight of prefilled tokens whose result is discarded.

    Examples
    --------
    >>> from currantdeal.policy import UserWeights
    >>> UserWeights(goodput=1.0, wasted_prefill=3.0).waste_weight_share
    0.75
    """

    goodput: float = 1.0
    wasted_prefill: float = 1.0

    @property
    def waste_weight_share(self):
        """Weight of wasted prefill as a share of both weights, 0 to 1."""
        total = self.goodput + self.wasted_prefill
        return self.wasted_prefill / total if total > 0 else 0.5


EVEN_WEIGHTS = UserWeights()

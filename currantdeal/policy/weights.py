"""What a user weighs more when the system is full.

The load pattern is a system at its limit, where a request admitted on a
guess may either answer one more caller or throw a prefill away.  Without the
weights both users would get one compromise: Pastelería Nube's long catalogue
reads would be wasted for answers that come late, and Ekundayo's engines would
stand idle for want of a risk.  The weights turn into one figure, the caution,
which shifts the quantile of the output length that is reserved and how far
ahead memory is booked.
"""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class UserWeights:
    """Weights of the two measures.

    Parameters
    ----------
    goodput : float
        Weight of requests answered within both latency targets.
    wasted_prefill : float
        Weight of prefilled tokens that are thrown away.

    Examples
    --------
    >>> from currantdeal.policy import UserWeights
    >>> UserWeights(goodput=1.0, wasted_prefill=3.0).caution
    0.75
    """

    goodput: float = 1.0
    wasted_prefill: float = 1.0

    @property
    def caution(self):
        """Share of the waste in both weights, from 0 to 1."""
        total = self.goodput + self.wasted_prefill
        return self.wasted_prefill / total if total > 0 else 0.5


EVEN_WEIGHTS = UserWeights()

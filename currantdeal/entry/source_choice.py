"""Order in which an entry tries the control instances as its source."""

AVOID_S = 3.0
"""Time for which an instance that failed or refused is tried last."""

UNKNOWN_DISTANCE = 2
"""Distance of an instance whose data centre is unknown: the longest one."""


class SourceChoice:
    """Known control instances, by distance and recent failures.

    Parameters
    ----------
    seeds : callable
        Returns the control addresses from the settings.

    Examples
    --------
    >>> choice = SourceChoice(seeds=lambda: ["far", "near"])
    >>> choice.update({"far": 2, "near": 0})
    >>> choice.candidates(now_s=0.0), choice.better("far", now_s=0.0)
    (['near', 'far'], ['near'])
    >>> choice.avoid("near", now_s=0.0)
    >>> choice.candidates(now_s=1.0), choice.better("far", now_s=1.0)
    (['far', 'near'], [])
    """

    def __init__(self, *, seeds):
        """Start with the addresses from the settings only."""
        self._seeds = seeds
        self._distances = {}
        self._avoided_until_s = {}

    def update(self, distances):
        """Replace the known instances and their distances."""
        self._distances = distances

    def distance(self, address):
        """Return the distance of an instance."""
        return self._distances.get(address, UNKNOWN_DISTANCE)

    def avoid(self, address, *, now_s):
        """Try an instance last for a while."""
        self._avoided_until_s[address] = now_s + AVOID_S

    def candidates(self, *, now_s):
        """Return all addresses in the order in which to try them."""
        addresses = dict.fromkeys((*self._distances, *self._seeds()))
        return sorted(
            addresses,
            key=lambda a: (self._is_avoided(a, now_s), self.distance(a)),
        )

    def better(self, source, *, now_s, any_other=False):
        """Return the addresses that are better than the source.

        Parameters
        ----------
        any_other : bool
            True if all others are, not only nearer ones.
        """
        return [
            address
            for address in self.candidates(now_s=now_s)
            if address != source
            and not self._is_avoided(address, now_s)
            and (any_other or self.distance(address) < self.distance(source))
        ]

    def _is_avoided(self, address, now_s):
        return self._avoided_until_s.get(address, 0.0) > now_s

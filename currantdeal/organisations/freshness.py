"""Age of the last proof that an entry's view is the newest configuration.

A key that was withdrawn must stop working everywhere within a bounded time,
also at an entry that is partitioned from the others, was paused, or follows a
control instance that is partitioned itself.  So an entry accepts keys only
while a quorum has confirmed its view recently.

A confirmation is passed on as an age, because clocks of different instances
are not comparable.  Each hop subtracts the age in the answer from the time at
which it *sent* its request, so that no delay of a message makes a view look
more recent than it is.
"""


class ViewFreshness:
    """Time up to which a view includes every acknowledged configuration.

    Examples
    --------
    >>> freshness = ViewFreshness()
    >>> freshness.age_s(now_s=5.0)
    inf
    >>> freshness.confirm(version=7, confirmed_s=4.0, held_version=7)
    >>> freshness.age_s(now_s=5.0)
    1.0

    A confirmation of a version that is still on its way takes effect when
    that version arrives:

    >>> freshness.confirm(version=8, confirmed_s=6.0, held_version=7)
    >>> freshness.age_s(now_s=7.0)
    3.0
    >>> freshness.hold(version=8)
    >>> freshness.age_s(now_s=7.0)
    1.0
    """

    def __init__(self):
        """Start without a confirmation."""
        self._confirmed_s = float("-inf")
        self._pending = ()

    @property
    def confirmed_s(self):
        """Time of the last confirmation; minus infinity before the first."""
        return self._confirmed_s

    def age_s(self, *, now_s):
        """Return the seconds since the last confirmation."""
        return now_s - self._confirmed_s

    def confirm(self, *, version, confirmed_s, held_version):
        """Record that no version above ``version`` was acknowledged by then.

        Parameters
        ----------
        version : int
            Newest version that a quorum had committed.
        confirmed_s : float
            Time, by the clock of this process, before which every
            acknowledged version is at most ``version``.
        held_version : int
            Version of the view.
        """
        if version <= held_version:
            self._confirmed_s = max(self._confirmed_s, confirmed_s)
        elif not self._pending or version >= self._pending[0]:
            self._pending = (version, confirmed_s)

    def hold(self, *, version):
        """Record that the view now is of a version."""
        if self._pending and self._pending[0] <= version:
            self._confirmed_s = max(self._confirmed_s, self._pending[1])
            self._pending = ()

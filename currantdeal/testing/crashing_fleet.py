"""Run crashing upstreams and announce them to real control processes."""

from functools import partial

from currantdeal.testing.crashing_upstream import CrashingUpstream
from currantdeal.testing.upstream_fleet import UpstreamFleet


class CrashingFleet(UpstreamFleet):
    """A fleet of upstreams that crash on certain requests.

    Parameters
    ----------
    cluster, services, engines
        As for ``UpstreamFleet``.
    options : dict
        Keyword arguments for each ``CrashingUpstream``.
    """

    def __init__(self, *, cluster, services=6, engines=4, **options):
        """Create the upstreams; they do not listen before ``start``."""
        super().__init__(
            cluster=cluster,
            services=services,
            engines=engines,
            make_standin=partial(CrashingUpstream, **options),
        )

    @property
    def crashes(self):
        """Time, request id and body of each crash so far, by time."""
        return sorted(
            crash
            for standin in self.standins.values()
            for crash in standin.crashes
        )

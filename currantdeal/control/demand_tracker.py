"""Aggregates the demand that all entries measure, at one control instance."""

from currantdeal.policy.load.demand import Demand, DemandWindow, busy_engines

DEMAND_WINDOW_S = 15.0
"""Length of the sliding window over which demand is summed."""


class DemandTracker:
    """Demand by service, and the engine traits that convert it into load.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    s_per_token : callable
        Returns the time in which a usual engine of a service prefills a
        token, or None.
    """

    def __init__(self, *, clock, s_per_token=lambda service: None):
        """Start without any demand."""
        self._clock = clock
        self._s_per_token = s_per_token
        self._reported = {}
        self._windows = {}
        self._engine_traits = {}

    def update_config(self, config):
        """Use the traits of engines of a committed configuration."""
        self._engine_traits = {
            service.name: service.engine
            for service in config.services
            if service.engine is not None
        }

    def busy(self, service):
        """Return how many engines the demand of a service keeps busy.

        None if the service has no engine traits, or if its demand has not
        been measured for a whole window yet.
        """
        window = self._windows.get(service)
        traits = self._engine_traits.get(service)
        now_s = self._clock()
        if window is None or traits is None:
            return None
        if not window.is_full(now_s=now_s):
            return None
        return busy_engines(
            window.total(now_s=now_s),
            window_s=DEMAND_WINDOW_S,
            kv_tokens=traits.kv_tokens,
            s_per_token=self._s_per_token(service),
        )

    def switch_s(self, service):
        """Return the time an engine of a service needs to switch stages."""
        traits = self._engine_traits.get(service)
        return traits.switch_s if traits is not None else 0.0

    def record(self, demands, *, reported_here):
        """Add demand that entries reported to this or another instance.

        Parameters
        ----------
        demands : dict
            Demand of each service.
        reported_here : bool
            True if an entry reported it to this instance.
        """
        now_s = self._clock()
        for service, demand in demands.items():
            window = self._windows.get(service)
            if window is None:
                window = DemandWindow(window_s=DEMAND_WINDOW_S)
                self._windows[service] = window
            window.add(demand, now_s=now_s)
            if reported_here:
                before = self._reported.get(service, Demand())
                self._reported[service] = before + demand

    def take_reported(self):
        """Return what was reported to this instance since the last call."""
        reported, self._reported = self._reported, {}
        return reported

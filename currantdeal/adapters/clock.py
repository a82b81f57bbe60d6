"""The machine's clock."""

import time


class SystemClock:
    """Clock of the running process; implements ``ports.Clock``."""

    def monotonic_s(self):
        """Return seconds since an arbitrary start."""
        return time.monotonic()

    def wall_s(self):
        """Return seconds since the epoch."""
        return time.time()

    def sleep(self, seconds):
        """Block for the given time."""
        time.sleep(seconds)

"""Requests that this instance serves at present."""

import contextlib
import threading

from currantdeal.serving.errors import Reason, not_run


class InFlight:
    """Counts requests, bounds them and tells when there are none.

    Each takes a thread until its last output.  Were all threads taken, even
    a refusal would have to wait for one; so requests beyond the limit are
    refused while some threads are left to do it.

    Parameters
    ----------
    limit : int
        Requests served at a time.
    """

    def __init__(self, *, limit):
        """Start with none."""
        self._limit = limit
        self._count = 0
        self._changed = threading.Condition()

    @property
    def count(self):
        """Number of requests being served."""
        return self._count

    @property
    def load(self):
        """Share of the limit in use."""
        return self._count / self._limit

    def begin(self):
        """Take a request in and return what ends it, or refuse.

        Returns
        -------
        callable
            Ends the request; further calls do nothing.
        """
        with self._changed:
            if self._count >= self._limit:
                raise not_run(
                    "the instance serves as many requests as it can",
                    reason=Reason.OVERLOADED,
                    retry_after_s=1.0,
                )
            self._count += 1
        end = contextlib.ExitStack()
        end.callback(self._end)
        return end.close

    def _end(self):
        with self._changed:
            self._count -= 1
            self._changed.notify_all()

    def wait_idle(self, *, timeout_s):
        """Return whether no request was left within the timeout."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._count == 0, timeout=timeout_s
            )

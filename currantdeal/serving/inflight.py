"""Limits the number of requests that an instance serves concurrently."""

import contextlib
import threading

from currantdeal.serving.errors import Reason, not_run


class InFlight:
    """Counts and limits concurrent requests, and waits for their end.

    A request occupies a thread until its last output.  If all threads were
    occupied, even a refusal would have to wait for one.  The limit leaves
    some threads free to refuse the requests beyond it.

    Parameters
    ----------
    limit : int
        Number of requests served concurrently.
    """

    def __init__(self, *, limit):
        """Start without requests."""
        self._limit = limit
        self._count = 0
        self._changed = threading.Condition()

    @property
    def count(self):
        """Number of requests being served."""
        return self._count

    @property
    def load(self):
        """Fraction of the limit in use."""
        return self._count / self._limit

    def begin(self):
        """Count a new request, or raise ``RefusedError`` at the limit.

        Returns
        -------
        callable
            Ends the request; further calls have no effect.
        """
        with self._changed:
            if self._count >= self._limit:
                raise not_run(
                    f"the instance serves its limit of {self._limit} "
                    "concurrent requests",
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
        """Return whether all requests ended within the timeout."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._count == 0, timeout=timeout_s
            )

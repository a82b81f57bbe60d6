"""Work that asks homes for its engines until one has room.

The load pattern is a full pool: the first engine refuses, and often the
second.  Asking only one would leave memory idle that came free elsewhere;
asking all of them at every turn would multiply the reservations just when
homes have most to do, and leave places in every waiting list.  So a turn asks
three engines at first.  Then it waits for the one that promised room first,
asks there after each pause of 20 ms, and asks one of the others as well if
that has not refused for 0.3 s.
"""

ASKED_AT_ONCE = 3
ASKED_AGAIN = 2
PAUSE_S = 0.02
FULL_DECODE_S = 0.3
UNREACHABLE_S = 1.0


class Turn:
    """Work whose turn it is, until it is reserved or given up.

    Parameters
    ----------
    queued : Queued
        The work.
    """

    def __init__(self, *, queued):
        """Let the work ask as often as a first turn allows."""
        self.queued = queued
        self.due_s = None
        self.asks_left = ASKED_AT_ONCE
        self.full_until_s = {}
        self._wanted = None
        self._wanted_wait_s = float("inf")
        self._ask_wanted = False
        self._settled = False

    def refused_by(self, upstream_id, retry_after_s, now_s):
        """Note a refusal, and wait for the engine that has room first."""
        self.full_until_s[upstream_id] = now_s + FULL_DECODE_S
        if retry_after_s <= 0:
            # The home did not answer or is changing.  It promises nothing,
            # and waiting for it would cost a timeout at every turn.
            retry_after_s = UNREACHABLE_S
        if not self._settled and retry_after_s < self._wanted_wait_s:
            self._wanted = upstream_id
            self._wanted_wait_s = retry_after_s

    def pause(self, now_s):
        """Ask the wanted engine first, once the pause is over."""
        self.due_s = now_s + PAUSE_S
        self.asks_left = ASKED_AGAIN
        self._ask_wanted = True
        self._settled = self._wanted is not None

    def take_wanted(self):
        """Return the engine to ask first after a pause, or None."""
        if not self._ask_wanted:
            return None
        self._ask_wanted = False
        return self._wanted

    def refused_prefill(self, upstream_id, retry_after_s, now_s):
        """Note that a prefill engine has no time to give yet."""
        until_s = now_s + (retry_after_s or UNREACHABLE_S)
        self.full_until_s[upstream_id] = until_s

    def full(self, now_s):
        """Return the engines that refused a moment ago."""
        return {
            name
            for name, until_s in self.full_until_s.items()
            if until_s > now_s
        }

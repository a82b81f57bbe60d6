"""Tells silence of engines that are out of reach from a lack of memory.

An engine that has no memory free refuses.  If none answers at all, the links
to them may be cut while other entries reach them, which is known a moment
later, see ``LinkWatch``.
"""

from currantdeal.entry.link_watch import VERDICT_S
from currantdeal.registry import Stage


class SilentEngines:
    """Engines that have not answered one generation's search for memory.

    Parameters
    ----------
    context : EntryContext
        Shared by the requests of an entry.
    active : ActiveRequest
        The generation.
    """

    def __init__(self, *, context, active):
        """Start before the first reservation is requested."""
        self._context = context
        self._active = active
        self._asked = {}
        self._has_answered = False
        self._is_doubted = False

    def record_request(self, record):
        """Record that an engine is asked."""
        self._asked.setdefault(record.address, self._context.now_s)

    def record_answer(self):
        """Record that an engine has answered."""
        self._has_answered = True

    def record_failure(self, exc):
        """Record that a request to an engine has failed."""
        self._has_answered |= exc.has_ended

    def may_be_reached(self, until_s):
        """Return whether to go on after the time in which memory is awaited.

        It is worth it while there may be another way to an engine that is
        silent, or was ejected.

        Parameters
        ----------
        until_s : float
            Loop time until which the generation waits for memory.
        """
        active, now_s = self._active, self._context.now_s
        link_watch = self._context.link_watch
        last_s = min(
            until_s + VERDICT_S, active.deadline_s - active.route.target_s
        )
        if self._has_answered or now_s >= last_s:
            return False
        if not self._is_doubted:
            self._is_doubted = True
            self._doubt_one()
        return any(map(link_watch.has_other_way, self._silent()))

    def _doubt_one(self):
        """Have the link to one of the engines checked.

        Those beside it are checked once it is found cut.
        """
        link_watch = self._context.link_watch
        for address, asked_s in self._asked.items():
            link_watch.record_silence(address, since_s=asked_s)
            if link_watch.has_other_way(address):
                return

    def _silent(self):
        """Return the addresses that were asked, or all if all are ejected."""
        if self._asked:
            return self._asked
        context = self._context
        records = context.view.engines(self._active.service.name, Stage.DECODE)
        is_any_in_use = any(
            not context.health.is_ejected(r.upstream, now_s=context.now_s)
            for r in records
        )
        return () if is_any_in_use else [r.address for r in records]

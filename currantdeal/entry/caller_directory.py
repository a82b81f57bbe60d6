"""Answers callers that ask which entries they may connect to.

Load pattern: correlated failure.  Callers ask the nearest instances first and
wait a second for each.  With few control instances in a data centre, callers
there lose seconds, and most of their requests, while these are down.  Any
entry answers as well, from the list that its control instance publishes.
"""

from currantdeal.registry import choose_entries

MAX_SILENCE_S = 3.0
"""Silence of the control instances after which an entry leaves itself out.

It may be partitioned, and then cannot confirm the keys of callers.
"""


class CallerDirectory:
    """The entries for callers, as known to one entry.

    Parameters
    ----------
    own_record : callable
        Returns the ``EntryRecord`` of this entry.
    silence_s : callable
        Returns the seconds since the last notice of a control instance.
    """

    def __init__(self, *, own_record, silence_s):
        """Start with an empty list."""
        self._own_record = own_record
        self._silence_s = silence_s
        self._records = {}

    def merge(self, notice):
        """Merge an ``EntriesNotice``."""
        if notice.complete:
            self._records = {}
        for name in notice.gone:
            self._records.pop(name, None)
        for record in notice.entries:
            self._records[record.instance] = record

    @property
    def records(self):
        """The ``EntryRecord`` of all entries for callers."""
        return self._records.values()

    def choose(self, region, data_center):
        """Return the addresses for a caller; empty if none is known."""
        own = self._own_record()
        records = {**self._records, own.instance: own}
        if not own.ready or self._silence_s() > MAX_SILENCE_S:
            del records[own.instance]
        return choose_entries(records.values(), region, data_center)

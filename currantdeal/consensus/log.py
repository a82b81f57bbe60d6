"""The entries that a replica holds in memory, after a base index."""

from currantdeal.consensus.errors import CompactedError, InvariantError


class Log:
    """Entries without gaps after a base that a snapshot covers.

    Parameters
    ----------
    base_index, base_term : int
        Of the last entry that is not held any more.
    entries : iterable of Entry
        Those after it.
    """

    def __init__(self, *, base_index=0, base_term=0, entries=()):
        """Hold the entries."""
        self._base_index = base_index
        self._base_term = base_term
        self._entries = []
        for entry in entries:
            self.append(entry)

    @property
    def base_index(self):
        """Index of the last entry that is not held any more."""
        return self._base_index

    @property
    def last_index(self):
        """Index of the last entry, or of the base."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self):
        """Term of the last entry, or of the base."""
        return self._entries[-1].term if self._entries else self._base_term

    def term_at(self, index):
        """Return the term of an entry; None when it is not known."""
        if index == self._base_index:
            return self._base_term
        if self._base_index < index <= self.last_index:
            return self._entries[index - self._base_index - 1].term
        return None

    def append(self, entry):
        """Add an entry at the end."""
        if entry.index != self.last_index + 1:
            raise InvariantError(
                f"entry {entry.index} after {self.last_index}"
            )
        self._entries.append(entry)

    def cut_from(self, index):
        """Drop the entry at an index and all after it."""
        if index <= self._base_index:
            raise InvariantError(f"cannot drop compacted entry {index}")
        del self._entries[index - self._base_index - 1 :]

    def after(self, index, *, limit, max_bytes):
        """Return entries after an index, bounded in number and size.

        Raises
        ------
        CompactedError
            If the first of them is not held any more.
        """
        if index < self._base_index:
            raise CompactedError(f"entry {index + 1} is compacted")
        start = index - self._base_index
        found = []
        size = 0
        for entry in self._entries[start : start + limit]:
            size += len(entry.data)
            if found and size > max_bytes:
                break
            found.append(entry)
        return tuple(found)

    def compact_to(self, index):
        """Drop the entries up to an index."""
        if index <= self._base_index:
            return
        term = self.term_at(index)
        if term is None:
            raise InvariantError(f"cannot compact to unknown entry {index}")
        del self._entries[: index - self._base_index]
        self._base_index = index
        self._base_term = term

    def reset(self, *, base_index, base_term):
        """Drop every entry and start after another base."""
        self._entries.clear()
        self._base_index = base_index
        self._base_term = base_term

"""In-memory part of the replicated log, after the last compacted index."""

from currantdeal.consensus.errors import CompactedError, InvariantError


class Log:
    """Consecutive entries after a base index that a snapshot covers.

    Parameters
    ----------
    base_index, base_term : int
        Index and term of the last compacted entry.
    entries : iterable of Entry
        Entries after the base index, without gaps.
    """

    def __init__(self, *, base_index=0, base_term=0, entries=()):
        """Start with the given entries."""
        self._base_index = base_index
        self._base_term = base_term
        self._entries = []
        for entry in entries:
            self.append(entry)

    @property
    def base_index(self):
        """Index of the last compacted entry."""
        return self._base_index

    @property
    def last_index(self):
        """Index of the last entry; the base index if there is none."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self):
        """Term of the last entry; the base term if there is none."""
        return self._entries[-1].term if self._entries else self._base_term

    def term_at(self, index):
        """Return the term at an index; None if compacted or not present."""
        if index == self._base_index:
            return self._base_term
        if self._base_index < index <= self.last_index:
            return self._entries[index - self._base_index - 1].term
        return None

    def append(self, entry):
        """Append an entry, whose index must follow the last one."""
        if entry.index != self.last_index + 1:
            raise InvariantError(
                f"entry {entry.index} cannot be appended after entry "
                f"{self.last_index}"
            )
        self._entries.append(entry)

    def truncate_from(self, index):
        """Drop all entries from an index on."""
        if index <= self._base_index:
            raise InvariantError(f"cannot truncate compacted entry {index}")
        del self._entries[index - self._base_index - 1 :]

    def after(self, index, *, limit, max_bytes):
        """Return entries after an index, limited in number and total size.

        The first entry is returned even if it is larger than ``max_bytes``.

        Raises
        ------
        CompactedError
            If the first of them was compacted.
        """
        if index < self._base_index:
            raise CompactedError(f"entry {index + 1} was compacted")
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
        """Drop the entries up to and including an index."""
        if index <= self._base_index:
            return
        term = self.term_at(index)
        if term is None:
            raise InvariantError(f"cannot compact to unknown entry {index}")
        del self._entries[: index - self._base_index]
        self._base_index = index
        self._base_term = term

    def reset(self, *, base_index, base_term):
        """Drop all entries and set a new base."""
        self._entries.clear()
        self._base_index = base_index
        self._base_term = base_term

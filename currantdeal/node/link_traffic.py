"""Observes the connections to upstreams, for what they say of the links."""

import asyncio

ORDERLY_AGE_S = 0.2
"""Time after bytes for which the end of a connection says nothing of the link.

Upstreams close and reset connections themselves, also within answers.
"""


class LinkTraffic:
    """Reports lost contact with upstreams.

    Parameters
    ----------
    links : currantdeal.policy.health.links.Links
        Links to the upstreams.

    Attributes
    ----------
    on_doubt : callable
        Called with the address of an upstream that may be out of reach, and
        why.
    on_helper_lost : callable
        Called with the entry through which a connection was lost.
    """

    def __init__(self, *, links):
        """Start without connections."""
        self.links = links
        self.on_doubt = lambda address, why: None
        self.on_helper_lost = lambda helper: None
        self._awaiting = {}
        self._helper_contact_s = {}

    def begin(self, connection):
        """Record that a request was sent on a connection."""
        self._awaiting[connection] = asyncio.get_running_loop().time()

    def end(self, connection):
        """Record that its answer has ended, or is awaited no more."""
        self._awaiting.pop(connection, None)

    def record_bytes(self, connection):
        """Record bytes from an upstream."""
        connection.has_received_bytes = True
        now_s = asyncio.get_running_loop().time()
        if connection.helper:
            self._helper_contact_s[connection.helper] = now_s
        else:
            self.links.record_contact(connection.address, now_s=now_s)

    def record_lost(self, connection, exc):
        """Record that a connection ended without having been closed here."""
        was_awaited = connection in self._awaiting
        self.end(connection)
        if exc is None and not was_awaited:
            return
        if was_awaited and connection.may_be_cut:
            # The upstream may be tired of an answer that is not read.
            return
        if connection.helper:
            self.on_helper_lost(connection.helper)
            return
        now_s = asyncio.get_running_loop().time()
        age_s = now_s - self.links.contact_s(connection.address)
        # Others to the same upstream may live on while new ones are reset.
        if not connection.has_received_bytes or age_s > ORDERLY_AGE_S:
            self.on_doubt(connection.address, f"connection lost: {exc}")

    def silent(self, *, for_s):
        """Return the direct addresses with requests but no bytes for a time.

        Parameters
        ----------
        for_s : float
            Least time since the last bytes and the sending of a request.
        """
        self._excuse_held_up()
        before_s = asyncio.get_running_loop().time() - for_s
        return {
            connection.address
            for connection, sent_s in self._awaiting.items()
            if not connection.helper
            and sent_s < before_s
            and self.links.contact_s(connection.address) < before_s
        }

    def silent_helpers(self, *, for_s):
        """Return the entries through which no bytes come for a time."""
        self._excuse_held_up()
        before_s = asyncio.get_running_loop().time() - for_s
        waiting = {
            connection.helper
            for connection, sent_s in self._awaiting.items()
            if connection.helper and sent_s < before_s
        }
        return {
            helper
            for helper in waiting
            if self._helper_contact_s.get(helper, before_s) <= before_s
        }

    def _excuse_held_up(self):
        """Count silence from when the upstream can answer.

        It cannot while a caller keeps this process from reading, or while it
        acknowledges that it has not read the whole request.
        """
        now_s = asyncio.get_running_loop().time()
        for connection in self._awaiting:
            if connection.is_held_up:
                self._awaiting[connection] = now_s

    def forget_helpers(self, helpers):
        """Forget entries that have left."""
        for helper in helpers:
            self._helper_contact_s.pop(helper, None)

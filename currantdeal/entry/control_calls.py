"""Calls from an entry to its control instance, and through it to owners."""

import asyncio

from currantdeal.core import boot_time_s
from currantdeal.node.errors import PeerUnreachableError
from currantdeal.node.limit_messages import LimitCall
from currantdeal.node.messages import (
    LIMITS_PROTOCOL,
    ORGANISATIONS_PROTOCOL,
    RETRIES_PROTOCOL,
)
from currantdeal.node.organisation_messages import (
    ConfirmCall,
    CreditCall,
    RetryCreditCall,
)

CONFIRM_TIMEOUT_S = 1.0
"""Time in which an instance must answer a ``ConfirmCall``.

The instance waits for the leader for a part of it, and then answers what it
knows.
"""

CREDIT_TIMEOUT_S = 1.0
"""Time in which an instance must answer a call for credit."""

MAX_CONFIRMATION_AGE_S = 2.0
"""Age of the confirmation from which another instance is tried."""

FIRST_PAUSE_S = 3.0
"""Time until the source is left again if the next one does not confirm."""

MAX_PAUSE_S = 30.0
"""Upper limit of that time, which doubles with each attempt."""


class ControlCalls:
    """Confirms the view of an entry, and asks for credit.

    Parameters
    ----------
    view : EntryView
        Updated with each confirmation.
    connection : callable
        Returns the connection to a control instance that understands a
        version of the messages, or None.
    """

    def __init__(self, *, view, connection):
        """Start without a pending call."""
        self._view = view
        self._connection = connection
        self._confirming = None
        self._pause_s = FIRST_PAUSE_S
        self._leave_again_s = 0.0

    @property
    def is_unconfirmed(self):
        """True if keys are in use and the view is no longer confirmed."""
        if not self._needs_keys:
            return False
        age_s = boot_time_s() - self._view.confirmed_boot_s
        return age_s > MAX_CONFIRMATION_AGE_S

    @property
    def _needs_keys(self):
        table = self._view.route_table
        return table is not None and table.needs_keys

    def should_leave_source(self, now_s):
        """Return whether to leave a source that does not confirm keys.

        Load pattern: metastable failure.  Overloaded control instances
        confirm late, and each subscription has them send all records.  So the
        pause before the next attempt doubles.
        """
        if not self.is_unconfirmed:
            self._pause_s = FIRST_PAUSE_S
            return False
        if now_s < self._leave_again_s:
            return False
        self._leave_again_s = now_s + self._pause_s
        self._pause_s = min(MAX_PAUSE_S, 2.0 * self._pause_s)
        return True

    async def confirm(self, *, fresh):
        """Confirm the view; returns whether it is the newest.

        Parameters
        ----------
        fresh : bool
            True to have the leader asked now.
        """
        sent_s = boot_time_s()
        answer = await self._call(ConfirmCall(fresh=fresh), CONFIRM_TIMEOUT_S)
        if answer is None or not answer.certain:
            return False
        # The answer may have been under way for some time; only the time
        # before the call is certain.
        self._view.confirm(answer.version, sent_s - answer.age_s)
        is_held = answer.version <= self._view.version
        return is_held and (answer.fresh or not fresh)

    def confirm_in_background(self):
        """Confirm the view if keys are in use, unless that is under way."""
        if not self._needs_keys:
            return
        if self._confirming is None or self._confirming.done():
            self._confirming = asyncio.ensure_future(self.confirm(fresh=False))

    async def ask_credit(self, entry, asks):
        """Ask the owner of the quotas for credit.

        Returns its ``CreditAnswer``; None if no instance answers.
        """
        call = CreditCall(entry=entry, asks=asks)
        return await self._call(call, CREDIT_TIMEOUT_S)

    async def ask_retry_credit(self, entry, asks):
        """Ask the owner of the retry budgets for credit.

        Returns its ``CreditAnswer``; None if no instance answers.
        """
        call = RetryCreditCall(entry=entry, asks=asks)
        return await self._call(
            call, CREDIT_TIMEOUT_S, protocol=RETRIES_PROTOCOL
        )

    async def ask_limit(self, ask, timeout_s):
        """Ask the owner of the limits for a slot.

        Returns its ``LimitGrant``; None if it is not reached in time.
        """
        answer = await self._call(
            LimitCall(ask=ask), timeout_s, protocol=LIMITS_PROTOCOL
        )
        return None if answer is None else answer.grant

    async def _call(self, call, timeout_s, *, protocol=ORGANISATIONS_PROTOCOL):
        connection = self._connection(protocol)
        if connection is None:
            return None
        try:
            return await connection.call(call, timeout_s=timeout_s)
        except PeerUnreachableError:
            return None

"""Decides whether the requests of an organisation may be served.

A key is accepted only while a quorum has confirmed the view recently enough
to exclude that the key was withdrawn longer ago than the operators allow.
Each request that is sent to an upstream carries the time up to which that
holds, and the connection checks it at the moment of sending.

Load pattern: credential stuffing.  Unknown keys are cheap to send, and each
of them may be a key that was added a moment ago.  One look-up of the newest
configuration serves all that arrive before it begins.
"""

import asyncio
import contextlib
import math

from currantdeal.core import boot_time_s
from currantdeal.entry.errors import RefusedError, UnauthorisedError
from currantdeal.node.single_flight import SingleFlight
from currantdeal.policy.retries.retry_after import RefusalReason

MAX_AGE_SHARE = 0.9
"""Share of the operators' bound for which a confirmation is relied upon.

The rest is for clocks of different rates.
"""

REFRESH_INTERVAL_S = 0.2
"""Minimum time between two look-ups of the newest configuration."""

MAX_WAITING = 256
"""Maximum number of requests with unknown keys that wait for a look-up."""


class Access:
    """Checks keys against the view of an entry.

    Parameters
    ----------
    view : EntryView
        Holds the organisations and the time of their confirmation.
    revocation_s : float
        Time after which a withdrawn key must not work; may be infinite.

    Attributes
    ----------
    look_up : callable
        Coroutine function that asks the leader for a newer configuration;
        returns whether the view is the newest.
    may_recover : callable
        Returns whether a view that cannot be used will soon be replaced.
    """

    def __init__(self, *, view, revocation_s):
        """Start without a connection to a control instance."""
        self._view = view
        self._max_age_s = MAX_AGE_SHARE * revocation_s
        self._refresh = SingleFlight(
            work=self._look_up, interval_s=REFRESH_INTERVAL_S
        )
        self._waiting = 0
        self.look_up = None
        self.may_recover = lambda: False

    @property
    def valid_until_s(self):
        """Time since boot up to which the keys of the view may be used."""
        if math.isinf(self._max_age_s):
            return math.inf
        return self._view.confirmed_boot_s + self._max_age_s

    async def authorise(self, call, find_route, *, wait_s):
        """Return the route table, the route and the organisation of a call.

        The organisation is None on routes that need no key.

        Parameters
        ----------
        call : currantdeal.node.dialect.CallerRequest
            Decoded headers of the request.
        find_route : callable
            Returns the route table in force and its route for the request,
            None if there is none.
        wait_s : float
            Longest wait for a view that can be used.

        Raises
        ------
        UnauthorisedError
            If no organisation holds the key.
        RefusedError
            If there is no view, or it is too old to tell.
        """
        until_s = boot_time_s() + wait_s
        await self._wait_for(lambda: self._view.route_table, until_s)
        if self._view.route_table is None:
            raise _no_view("no configuration yet")
        table, route = find_route()
        if not _needs_key(table, route):
            return table, route, None
        if not call.key_digest:
            raise UnauthorisedError("the request has no well-formed key")
        await self._wait_for(self._is_confirmed, until_s)
        is_newest = False
        if self._find_organisation(call) is None:
            is_newest = await self._is_newest()
        table, route = find_route()
        if not _needs_key(table, route):
            return table, route, None
        organisation = self._find_organisation(call)
        if organisation is None and is_newest:
            raise UnauthorisedError("the key is not known")
        if organisation is None or not self._is_confirmed():
            raise _no_view("the keys in force cannot be confirmed")
        return table, route, organisation

    def may_send(self, active):
        """Return whether the key of a request is still in force."""
        needs_keys = self._view.route_table.needs_keys
        if active.organisation is None or not needs_keys:
            return True
        if not self._is_confirmed():
            return False
        found = self._find_organisation(active.call)
        return found is not None and found.name == active.organisation.name

    def _find_organisation(self, call):
        return self._view.route_table.find_organisation(call.key_digest)

    def _is_confirmed(self):
        return boot_time_s() < self.valid_until_s

    async def _wait_for(self, condition, until_s):
        """Wait until a condition on the view holds, or until a time.

        An entry that has just started, or hears of a new leader, will have a
        usable view at once.  A caller that is refused meanwhile may have no
        other attempt.
        """
        if condition() or not self.may_recover():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, until_s - boot_time_s())):
                while not condition():
                    await self._view.wait_for_change()

    async def _is_newest(self):
        if self._waiting >= MAX_WAITING:
            return self._is_confirmed()
        self._waiting += 1
        try:
            return await self._refresh.run()
        finally:
            self._waiting -= 1

    async def _look_up(self):
        return self.look_up is not None and await self.look_up()


def _needs_key(table, route):
    return route is not None and table.needs_keys and not route.anonymous


def _no_view(reason):
    return RefusedError(reason, refusal_reason=RefusalReason.CONFIGURATION)

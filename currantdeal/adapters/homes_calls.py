"""Calls to homes and entries on other instances, by Thrift.

A call to this instance itself goes straight to the server object.
"""

from thrift.Thrift import TException

from currantdeal.adapters.errors import PeerError
from currantdeal.adapters.generated.homes import Homes
from currantdeal.adapters.generated.homes.ttypes import HomeRefused
from currantdeal.membership import HOME_CODEC

SERVICE = "homes"


class HomeCalls:
    """Client side.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    local : HomesServer
        Answers calls to this instance.
    pool : PeerPool
        Connections to others.
    address_of : callable
        Returns the peer address of an instance, empty if unknown.
    """

    def __init__(self, *, instance, local, pool, address_of):
        """Keep the ways to this and to other instances."""
        self._instance = instance
        self._local = local
        self._pool = pool
        self._address_of = address_of

    def reserve(self, home, call, *, timeout_s):
        """Return a ``Grant`` or a ``HomeRefusal``."""
        if home == self._instance:
            return self._local.take_reserve(call)
        raw = HOME_CODEC.encode(call)
        try:
            answer = self._ask(home, lambda to: to.reserve(raw), timeout_s)
        except HomeRefused as exc:
            return HOME_CODEC.decode(exc.refusal)
        return HOME_CODEC.decode(answer)

    def grow(self, home, call, *, timeout_s):
        """Return whether a grant was enlarged."""
        if home == self._instance:
            return self._local.take_grow(call)
        raw = HOME_CODEC.encode(call)
        return self._ask(home, lambda to: to.grow(raw), timeout_s)

    def sync(self, home, beat, *, timeout_s):
        """Return the home's ``SyncAnswer`` to a heartbeat."""
        if home == self._instance:
            return self._local.take_sync(beat)
        raw = HOME_CODEC.encode(beat)
        answer = self._ask(home, lambda to: to.sync(raw), timeout_s)
        return HOME_CODEC.decode(answer)

    def claims(self, entry, call, *, timeout_s):
        """Return an entry's ``ClaimsAnswer``."""
        if entry == self._instance:
            return self._local.take_claims(call)
        raw = HOME_CODEC.encode(call)
        answer = self._ask(entry, lambda to: to.claims(raw), timeout_s)
        return HOME_CODEC.decode(answer)

    def pass_on(self, instance, reports, *, timeout_s):
        """Let another instance pass load reports on."""
        raw = HOME_CODEC.encode(reports)
        self._ask(instance, lambda to: to.pass_on(raw), timeout_s)

    def _ask(self, instance, ask, timeout_s):
        address = self._address_of(instance)
        if not address:
            raise PeerError(f"{instance}: no address known", sent=False)
        try:
            return self._pool.call(
                address, SERVICE, Homes.Client, ask, timeout_s=timeout_s
            )
        except HomeRefused:
            raise
        except TException as exc:
            # The other side failed inside the call; whether it granted is
            # not known, as after a lost answer.
            raise PeerError(f"{instance}: {exc}", sent=True) from exc

"""Thrift client for calls to homes and entries on other instances.

A call to this instance itself goes directly to the server object.
"""

from thrift.Thrift import TException

from currantdeal.adapters.errors import PeerError
from currantdeal.adapters.generated.homes import Homes
from currantdeal.adapters.generated.homes.ttypes import HomeRefused
from currantdeal.membership import HOME_CODEC

SERVICE = "homes"


class HomeCalls:
    """Client for the service ``homes``.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    local : HomesServer
        Answers calls to this instance.
    pool : PeerPool
        Connections to other instances.
    address_of : callable
        Returns the peer address of an instance, empty if unknown.
    """

    def __init__(self, *, instance, local, pool, address_of):
        """Store the local server and the connection pool."""
        self._instance = instance
        self._local = local
        self._pool = pool
        self._address_of = address_of

    def reserve(self, home, call, *, timeout_s):
        """Return a ``Grant`` or a ``HomeRefusal``."""
        if home == self._instance:
            return self._local.handle_reserve(call)
        raw = HOME_CODEC.encode(call)
        try:
            answer = self._call(home, lambda to: to.reserve(raw), timeout_s)
        except HomeRefused as exc:
            return HOME_CODEC.decode(exc.refusal)
        return HOME_CODEC.decode(answer)

    def grow(self, home, call, *, timeout_s):
        """Return whether a grant was enlarged."""
        if home == self._instance:
            return self._local.handle_grow(call)
        raw = HOME_CODEC.encode(call)
        return self._call(home, lambda to: to.grow(raw), timeout_s)

    def sync(self, home, beat, *, timeout_s):
        """Return the home's ``SyncAnswer`` to a heartbeat."""
        if home == self._instance:
            return self._local.handle_sync(beat)
        raw = HOME_CODEC.encode(beat)
        answer = self._call(home, lambda to: to.sync(raw), timeout_s)
        return HOME_CODEC.decode(answer)

    def claims(self, entry, call, *, timeout_s):
        """Return an entry's ``ClaimsAnswer``."""
        if entry == self._instance:
            return self._local.handle_claims(call)
        raw = HOME_CODEC.encode(call)
        answer = self._call(entry, lambda to: to.claims(raw), timeout_s)
        return HOME_CODEC.decode(answer)

    def pass_on(self, instance, reports, *, timeout_s):
        """Let another instance relay load reports to the home."""
        raw = HOME_CODEC.encode(reports)
        self._call(instance, lambda to: to.pass_on(raw), timeout_s)

    def _call(self, instance, rpc, timeout_s):
        address = self._address_of(instance)
        if not address:
            raise PeerError(f"{instance}: no address known", sent=False)
        try:
            return self._pool.call(
                address, SERVICE, Homes.Client, rpc, timeout_s=timeout_s
            )
        except HomeRefused:
            raise
        except TException as exc:
            # The call failed at the other instance.  As after a lost answer,
            # it may or may not have granted the reservation.
            raise PeerError(f"{instance}: {exc}", sent=True) from exc

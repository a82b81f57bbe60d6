"""SWIM membership over UDP; implements ``ports.MembersPort``.

One datagram carries one message.  Unlike Thrift over TCP, a probe of a
random member needs no connection, and the protocol tolerates lost datagrams
anyway; docs/design/0005-membership.md compares the two.
"""

import contextlib
import random
import socket
import threading
from dataclasses import dataclass

import pykka
import structlog

from currantdeal.core import CodecError, InstanceId
from currantdeal.membership import (
    Send,
    Swim,
    SwimTiming,
    WireError,
    decode_message,
    encode_message,
    first_incarnation,
)
from currantdeal.ports import Member

TICK_S = 0.1
MAX_DATAGRAM = 65_507
RECEIVE_TIMEOUT_S = 0.5
"""Timeout of one receive; closing the socket does not interrupt it."""

MIN_LOAD_CHANGE = 0.05
"""Smallest announced load change; finer ones would crowd out other news."""

_log = structlog.get_logger(__name__)


@dataclass(frozen=True, kw_only=True)
class Traffic:
    """Numbers of datagrams and bytes since the start."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0


@dataclass(frozen=True, kw_only=True)
class _Tick:
    pass


@dataclass(frozen=True, kw_only=True)
class _Received:
    raw: bytes


@dataclass(frozen=True, kw_only=True)
class _Change:
    draining: bool | None = None
    load: float | None = None


@dataclass(frozen=True, kw_only=True)
class _Leave:
    pass


class _GossipActor(pykka.ThreadingActor):
    """Owns the membership table; other threads send it messages."""

    use_daemon_thread = True

    def __init__(self, *, swim, clock, transmit, publish):
        super().__init__()
        self._swim = swim
        self._clock = clock
        self._transmit = transmit
        self._publish = publish
        self._published = -1

    def on_receive(self, message):
        try:
            self._process(message)
        except Exception:
            # An unhandled exception would end the actor, and this instance's
            # view of the membership would never change again.
            _log.exception("failed to handle a membership message")

    def _process(self, message):
        now_s = self._clock.monotonic_s()
        self._transmit(self._handle(message, now_s))
        if self._swim.version != self._published:
            self._published = self._swim.version
            self._publish(self._swim.members())

    def _handle(self, message, now_s):
        match message:
            case _Tick():
                return self._swim.tick(now_s)
            case _Received(raw=raw):
                return self._receive(raw, now_s)
            case _Change():
                self._swim.update(now_s=now_s, **_changed_fields(message))
                return ()
            case _Leave():
                return self._swim.leave(now_s)
        raise TypeError(f"not a message of this actor: {message!r}")

    def _receive(self, raw, now_s):
        try:
            return self._swim.receive(decode_message(raw), now_s)
        except (WireError, CodecError):
            # Any host can send datagrams to this port; an invalid one is
            # treated as lost.
            return ()


class Gossip:
    """Membership of the cluster as seen by this instance.

    Parameters
    ----------
    me : Member
        This instance; its incarnation is set from the clock.
    seeds : tuple of str
        Peer addresses of the instances to join through.
    routes : dict of InstanceId to str
        Addresses to use in place of the advertised ones.
    bind : tuple of (str, int)
        Address to bind the UDP socket to.
    timing : SwimTiming
        Intervals of the SWIM protocol.
    clock : Clock
        Source of time.
    """

    def __init__(self, *, me, seeds, routes, bind, timing, clock):
        """Bind the socket; nothing is sent before ``start``."""
        self._routes = dict(routes)
        self._clock = clock
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(bind)
        self._socket.settimeout(RECEIVE_TIMEOUT_S)
        self._swim = Swim(
            me=me,
            seeds=seeds,
            timing=timing,
            rng=random.Random(),
            now_s=clock.monotonic_s(),
        )
        self._members = self._swim.members()
        self._by_name = {m.instance: m for m in self._members}
        self._announced_load = 0.0
        self._traffic = Traffic()
        self._received = Traffic()
        self._stopped = threading.Event()
        self._actor = None

    @property
    def port(self):
        """UDP port that the instance receives on."""
        return self._socket.getsockname()[1]

    def start(self):
        """Join the other instances."""
        self._actor = _GossipActor.start(
            swim=self._swim,
            clock=self._clock,
            transmit=self._transmit,
            publish=self._publish,
        )
        for target in (self._tick, self._receive):
            threading.Thread(target=target, name="gossip", daemon=True).start()

    def stop(self):
        """Notify some other instances of the planned stop, then stop."""
        if self._actor is None:
            return
        with contextlib.suppress(pykka.ActorDeadError, pykka.Timeout):
            self._actor.ask(_Leave(), timeout=1.0)
        self._stopped.set()
        self._actor.stop(block=False)
        self._socket.close()

    def members(self):
        """Return all known instances, this one included, sorted by name."""
        return self._members

    def member(self, instance):
        """Return one known instance, or None."""
        return self._by_name.get(instance)

    def peer_address(self, instance):
        """Return an instance's peer address, or an empty string."""
        member = self.member(instance)
        advertised = member.peer_address if member else ""
        return self._routes.get(instance, advertised)

    def set_ready(self):
        """Announce that this instance accepts callers."""
        self._enqueue(_Change(draining=False))

    def set_draining(self):
        """Announce that this instance accepts no more callers."""
        self._enqueue(_Change(draining=True))

    def set_load(self, load):
        """Announce the load of this instance, if it changed enough."""
        if abs(load - self._announced_load) >= MIN_LOAD_CHANGE:
            self._announced_load = load
            self._enqueue(_Change(load=load))

    def traffic(self):
        """Return the traffic sent and received since the start."""
        return Traffic(
            sent=self._traffic.sent,
            sent_bytes=self._traffic.sent_bytes,
            received=self._received.received,
            received_bytes=self._received.received_bytes,
        )

    def _enqueue(self, message):
        with contextlib.suppress(pykka.ActorDeadError):
            self._actor.tell(message)

    def _tick(self):
        while not self._stopped.is_set():
            self._enqueue(_Tick())
            self._stopped.wait(TICK_S)

    def _receive(self):
        while not self._stopped.is_set():
            try:
                raw = self._socket.recv(MAX_DATAGRAM)
            except (ConnectionError, TimeoutError):
                # The kernel may report that an earlier datagram found no
                # listener.  That instance is down; this socket still works.
                continue
            except OSError:
                return
            self._received = Traffic(
                received=self._received.received + 1,
                received_bytes=self._received.received_bytes + len(raw),
            )
            self._enqueue(_Received(raw=raw))

    def _transmit(self, sends):
        for send in sends:
            raw = encode_message(send.message)
            with contextlib.suppress(OSError, ValueError):
                self._socket.sendto(raw, self._target(send))
            self._traffic = Traffic(
                sent=self._traffic.sent + 1,
                sent_bytes=self._traffic.sent_bytes + len(raw),
            )

    def _target(self, send: Send):
        address = self._routes.get(send.instance, send.address)
        host, _, port = address.rpartition(":")
        return host, int(port)

    def _publish(self, members):
        before = self._by_name
        for member in members:
            known = before.get(member.instance)
            if known is None or known.status is not member.status:
                _log.info(
                    "member",
                    instance=member.instance,
                    status=member.status.value,
                )
        self._members = members
        self._by_name = {m.instance: m for m in members}


def build_members(*, settings, clock):
    """Build the membership of an instance; the caller starts and stops it.

    Parameters
    ----------
    settings : Settings
        The instance's settings; the UDP port has the number of the peer
        port.
    clock : Clock
        Source of time.
    """
    host, _, port = settings.peer_address.rpartition(":")
    me = Member(
        instance=InstanceId(settings.instance),
        incarnation=first_incarnation(clock.wall_s()),
        caller_address=settings.advertised_caller_address
        or settings.caller_address,
        peer_address=settings.advertised_peer_address or settings.peer_address,
        region=settings.region,
        data_center=settings.data_center,
        draining=True,
    )
    return Gossip(
        me=me,
        seeds=settings.seeds,
        routes={
            route.instance: route.peer_address for route in settings.routes
        },
        bind=(host, int(port)),
        timing=SwimTiming(
            probe_s=settings.timing.probe_s,
            suspicion_s=settings.timing.suspicion_s,
        ),
        clock=clock,
    )


def _changed_fields(change):
    found = {"draining": change.draining, "load": change.load}
    return {name: value for name, value in found.items() if value is not None}

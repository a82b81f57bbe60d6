"""Membership over UDP; implements ``ports.MembersPort``.

One datagram carries one message.  Compared with Thrift over TCP, a probe of
a random member needs no connection, and a lost datagram is what the protocol
expects anyway; see docs/design/0005-membership.md for the measurement.
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
RECEIVE_S = 0.5
"""Longest wait in one receive; closing a socket does not end its wait."""

LOAD_STEP = 0.05
"""Smallest change of load that is told; finer news would crowd out others."""

_log = structlog.get_logger(__name__)


@dataclass(frozen=True, kw_only=True)
class Traffic:
    """Datagrams and bytes since the start."""

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
    """Owns the membership; everything else sends it messages."""

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
            self._take(message)
        except Exception:
            # The actor would end with the error, and the instance would
            # believe for good what it believes now.
            _log.exception("membership message failed")

    def _take(self, message):
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
                self._swim.update(now_s=now_s, **_changes(message))
                return ()
            case _Leave():
                return self._swim.leave(now_s)
        raise TypeError(f"not a message of this actor: {message!r}")

    def _receive(self, raw, now_s):
        try:
            return self._swim.receive(decode_message(raw), now_s)
        except (WireError, CodecError):
            # Anybody can send a datagram here; what is no message is as
            # good as lost.
            return ()


class Gossip:
    """Membership as this instance believes it.

    Parameters
    ----------
    me : Member
        This instance; its incarnation is set from the clock.
    seeds : tuple of str
        Peer addresses through which to join.
    routes : dict of InstanceId to str
        Addresses to use in place of the advertised ones.
    bind : tuple of (str, int)
        Address to receive on.
    timing : SwimTiming
        Intervals.
    clock : Clock
        Time.
    """

    def __init__(self, *, me, seeds, routes, bind, timing, clock):
        """Bind the socket; nothing is sent before ``start``."""
        self._routes = dict(routes)
        self._clock = clock
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(bind)
        self._socket.settimeout(RECEIVE_S)
        self._swim = Swim(
            me=me,
            seeds=seeds,
            timing=timing,
            rng=random.Random(),
            now_s=clock.monotonic_s(),
        )
        self._members = self._swim.members()
        self._by_name = {m.instance: m for m in self._members}
        self._told_load = 0.0
        self._traffic = Traffic()
        self._received = Traffic()
        self._stopped = threading.Event()
        self._actor = None

    @property
    def port(self):
        """UDP port that the instance receives on."""
        return self._socket.getsockname()[1]

    def start(self):
        """Join the others."""
        self._actor = _GossipActor.start(
            swim=self._swim,
            clock=self._clock,
            transmit=self._transmit,
            publish=self._publish,
        )
        for target in (self._tick, self._receive):
            threading.Thread(target=target, name="gossip", daemon=True).start()

    def stop(self):
        """Tell some others of the planned stop and end."""
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
        """Return where to reach an instance, or an empty string."""
        member = self.member(instance)
        advertised = member.peer_address if member else ""
        return self._routes.get(instance, advertised)

    def set_ready(self):
        """Tell the others that callers may be sent to this instance."""
        self._tell(_Change(draining=False))

    def set_draining(self):
        """Tell the others that this instance takes no more callers."""
        self._tell(_Change(draining=True))

    def set_load(self, load):
        """Tell the others this instance's load, if it changed enough."""
        if abs(load - self._told_load) >= LOAD_STEP:
            self._told_load = load
            self._tell(_Change(load=load))

    def traffic(self):
        """Return what was sent and received since the start."""
        return Traffic(
            sent=self._traffic.sent,
            sent_bytes=self._traffic.sent_bytes,
            received=self._received.received,
            received_bytes=self._received.received_bytes,
        )

    def _tell(self, message):
        with contextlib.suppress(pykka.ActorDeadError):
            self._actor.tell(message)

    def _tick(self):
        while not self._stopped.is_set():
            self._tell(_Tick())
            self._stopped.wait(TICK_S)

    def _receive(self):
        while not self._stopped.is_set():
            try:
                raw = self._socket.recv(MAX_DATAGRAM)
            except (ConnectionError, TimeoutError):
                # The kernel may tell that an earlier datagram found no
                # listener; that instance is down, this socket is not.
                continue
            except OSError:
                return
            self._received = Traffic(
                received=self._received.received + 1,
                received_bytes=self._received.received_bytes + len(raw),
            )
            self._tell(_Received(raw=raw))

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
    """Return the membership of an instance, to be started and stopped.

    Parameters
    ----------
    settings : Settings
        The instance's settings; it receives on the UDP port with the number
        of its peer port.
    clock : Clock
        Time.
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


def _changes(change):
    found = {"draining": change.draining, "load": change.load}
    return {name: value for name, value in found.items() if value is not None}

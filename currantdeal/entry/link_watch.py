"""Finds out which upstreams this entry cannot reach though others can.

Contact is doubted when a connection fails or ends early, or when requests wait
and no bytes come.  A doubted link is checked: the same health check is sent
directly and through another entry, and what the two find is compared.  Bytes
that come back are what proves a path, not a connection that was accepted.
"""

import asyncio

import structlog

from currantdeal.node.errors import ConnectError, ExchangeError, LinkError
from currantdeal.node.exchange import exchange_on
from currantdeal.policy.health.links import CheckResult, LinkState, Reach

TICK_S = 0.2
"""Interval at which silence is looked for and due checks are started."""

CHECK_TIMEOUT_S = 0.5
"""Time to answer a health check, including a new connection."""

OPEN_CHECK_TIMEOUT_S = 0.15
"""Time to answer one on a connection that is open."""

GRACE_S = 0.3
"""Time for the direct answer once another entry has had one."""

COMPARE_AFTER_S = 0.1
"""Time without a direct answer after which another entry is asked as well."""

UPSTREAM_SILENCE_S = 1.0
"""Silence of an upstream at which requests wait, after which it is checked."""

DATA_CENTER_SILENCE_S = 0.6
"""The same if nothing comes from the whole data centre."""

IDLE_SILENCE_S = 1.0
"""Time without any bytes after which an open idle connection is checked.

The next request would find that it hangs, and might not be one that can be
sent again.
"""

MAX_CHECKS = 16
"""Maximum number of checks at a time."""

SPARE_LINKS = 16
"""Links of upstreams that have left which are kept without harm."""

HELPER_SILENCE_S = 0.6
"""Silence on links through an entry after which it is asked last."""

_log = structlog.get_logger(__name__)


class LinkWatch:
    """Keeps the state of the links of an entry up to date.

    Parameters
    ----------
    view : EntryView
        Upstreams that accept work, and their health check paths.
    pool : ConnectionPool
        Connections to upstreams, and the links.
    dialect : currantdeal.node.dialect.UpstreamDialect
        Format of health checks.
    read_response : callable
        Decodes an upstream's answer and applies what it says of itself.
    in_background : callable
        Runs a coroutine that outlives its request.
    random : random.Random
        Draws the links to check when many are due.
    metrics : currantdeal.ports.MetricsPort
        Counts checks and losses.

    Attributes
    ----------
    on_cut : callable
        Called with the address of an upstream whose link was found cut.
    on_answer : callable
        Called with the record of an upstream that answered a direct check.
    on_reached : callable
        Called with the record of an upstream that answers again, on another
        way than before.
    """

    def __init__(
        self,
        *,
        view,
        pool,
        dialect,
        read_response,
        in_background,
        random,
        metrics,
    ):
        """Start without doubts."""
        self._view = view
        self._pool = pool
        self._connector = pool.connector
        self._links = pool.connector.links
        self._dialect = dialect
        self._read_response = read_response
        self._in_background = in_background
        self._random = random
        self._metrics = metrics
        self._checking = set()
        self._why = {}
        self.on_cut = lambda address: None
        self.on_answer = lambda record: None
        self.on_reached = lambda record: None
        self._connector.traffic.on_doubt = self.doubt
        self._connector.traffic.on_helper_lost = self._avoid_helper

    def doubt(self, address, why, *, may_reuse=False):
        """Check the link to an upstream with which contact was lost.

        Parameters
        ----------
        why : str
            What happened.
        may_reuse : bool
            Whether an answer on an open connection removes the doubt.
        """
        if (
            self._connector.link_client is None
            or address not in self._view.addresses
        ):
            return
        if self._links.doubt(address, now_s=_now_s()):
            self._why[address] = why
            self._start_check(address, may_reuse=may_reuse)

    def record_timeout(self, address):
        """Check the link to an upstream that answers nothing any more."""
        silence_s = _now_s() - self._links.contact_s(address)
        if silence_s > UPSTREAM_SILENCE_S:
            self.doubt(address, "timed out", may_reuse=True)

    def is_trusted(self, address):
        """Return whether what is observed of an upstream is not its link's."""
        return address not in self._links.unsound

    def was_reached(self, address, *, since_s):
        """Return whether an upstream has sent bytes directly since a time."""
        return self._links.contact_s(address) > since_s

    def is_hung(self, connection):
        """Return whether a connection hangs on a link that is cut."""
        return (
            not connection.helper
            and self._links.is_cut(connection.address)
            and not self._links.was_contacted(
                connection.address, now_s=_now_s()
            )
        )

    def count_cut(self, service):
        """Return the number of a service's upstreams whose links are cut."""
        return sum(
            self._links.is_cut(record.address)
            for record in self._view.ready(service)
        )

    def tick(self):
        """Look for silence, and start the checks that are due."""
        if self._connector.link_client is None:
            return
        self._forget_departed()
        self._doubt_silent()
        self._doubt_idle()
        self._suspect_beside_cut()
        for helper in self._connector.traffic.silent_helpers(
            for_s=HELPER_SILENCE_S
        ):
            self._avoid_helper(helper)
        due = self._links.due(now_s=_now_s())
        self._random.shuffle(due)
        for address in due:
            self._start_check(address)

    def _doubt_silent(self):
        traffic = self._connector.traffic
        for address in traffic.silent(for_s=UPSTREAM_SILENCE_S):
            self.doubt(address, "silent", may_reuse=True)
        by_center = {}
        for address in traffic.silent(for_s=DATA_CENTER_SILENCE_S):
            center = self._view.data_center_at(address)
            by_center.setdefault(center, []).append(address)
        for center, addresses in by_center.items():
            if center is not None and self._silence_s(
                self._addresses_in(center)
            ) > (DATA_CENTER_SILENCE_S):
                address = self._random.choice(addresses)
                self.doubt(address, "data centre silent", may_reuse=True)

    def _doubt_idle(self):
        if _now_s() - self._links.last_contact_s <= IDLE_SILENCE_S:
            return
        idle = [
            address
            for address in self._pool.idle_addresses
            if self._links.state(address) is LinkState.SOUND
        ]
        if idle:
            address = self._random.choice(idle)
            self.doubt(address, "idle", may_reuse=True)

    def _suspect_beside_cut(self):
        """Check what was not heard of since a link beside it was found cut."""
        centers = {self._view.data_center_at(a) for a in self._links.cut}
        now_s = _now_s()
        for center in centers - {None}:
            for address in self._addresses_in(center):
                if self._links.is_worth_check(address, now_s=now_s):
                    self.doubt(address, "beside a link that is cut")

    def _silence_s(self, addresses):
        contacts = map(self._links.contact_s, addresses)
        return _now_s() - max(contacts, default=_now_s())

    def _addresses_in(self, center):
        return [
            address
            for address in self._view.addresses
            if self._view.data_center_at(address) == center
        ]

    def _forget_departed(self):
        addresses = self._view.addresses
        has_left = not self._links.unsound <= addresses
        if has_left or self._links.known > 2 * len(addresses) + SPARE_LINKS:
            self._links.keep_only(addresses)
            self._why = {
                a: why for a, why in self._why.items() if a in addresses
            }

    def _start_check(self, address, *, may_reuse=False):
        if address in self._checking or len(self._checking) >= MAX_CHECKS:
            return
        self._checking.add(address)
        self._links.begin_check(address, now_s=_now_s())
        self._in_background(self._check(address, may_reuse))

    async def _check(self, address, may_reuse):
        before = self._links.state(address)
        try:
            result = await self._compare(address, before, may_reuse)
        finally:
            self._checking.discard(address)
        if address not in self._view.addresses:
            return
        state = self._links.record_check(address, result, now_s=_now_s())
        self._metrics.add(
            "link_checks_total",
            direct=str(result.direct).lower(),
            others=result.others.value,
        )
        if state is not before:
            self._apply(address, before, state, result)
        if result.direct:
            self.on_answer(self._view.upstream_at(address))

    async def _compare(self, address, before, may_reuse):
        """Return what a check finds, directly and through others."""
        direct = asyncio.ensure_future(self._answers_here(address, may_reuse))
        try:
            if not self._links.wants_comparison(address, now_s=_now_s()):
                return CheckResult(direct=await direct)
            if before is not LinkState.CUT:
                await asyncio.wait({direct}, timeout=COMPARE_AFTER_S)
            if direct.done() and direct.result():
                return CheckResult(direct=True)
            others = await self._reach_through_others(address)
            wait_s = GRACE_S if others is Reach.REACHED else CHECK_TIMEOUT_S
            await asyncio.wait({direct}, timeout=wait_s)
            return CheckResult(
                direct=direct.done() and direct.result(), others=others
            )
        finally:
            direct.cancel()

    async def _answers_here(self, address, may_reuse):
        """Return whether an upstream answers on a direct connection."""
        connection = self._pool.take_direct(address) if may_reuse else None
        if connection is not None and await self._answers(
            connection, OPEN_CHECK_TIMEOUT_S
        ):
            return True
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                connection = await self._connector.open_direct(
                    address, timeout_s=CHECK_TIMEOUT_S
                )
                return await self._answers(connection, CHECK_TIMEOUT_S)
        except (ExchangeError, TimeoutError):
            return False

    async def _reach_through_others(self, address):
        if not self._connector.link_client.has_helpers:
            return Reach.NOT_REACHED
        try:
            await self._connector.open_linked(
                address,
                timeout_s=CHECK_TIMEOUT_S,
                # The connection is idle in the pool afterwards.
                verify=lambda c: self._verify(c, CHECK_TIMEOUT_S),
            )
        except LinkError as exc:
            is_told = exc.is_conclusive
            return Reach.NOT_REACHED if is_told else Reach.UNKNOWN
        return Reach.REACHED

    async def _answers(self, connection, timeout_s):
        try:
            await self._verify(connection, timeout_s)
        except ExchangeError:
            return False
        return True

    async def _verify(self, connection, timeout_s):
        record = self._view.upstream_at(connection.address)
        path = record and self._view.health_path(record.service)
        if not path:
            connection.close()
            raise ConnectError(f"no upstream at {connection.address}")
        call = self._dialect.check_health(connection.address, path)
        head, _ = await exchange_on(
            self._pool, connection, call, timeout_s=timeout_s
        )
        self._read_response(record, head)

    def _apply(self, address, before, state, result):
        if state is LinkState.CUT:
            self._metrics.add("links_lost_total")
            self._log_change("link-lost", address, others=result.others.value)
            self._suspect_beside_cut()
            self._pool.close_idle_direct(address)
            self.on_cut(address)
        elif before is LinkState.CUT:
            self._metrics.add("links_restored_total")
            self._log_change("link-restored", address, direct=result.direct)
            self._pool.close_idle_linked(address)
            center = self._view.data_center_at(address)
            self._links.expedite(self._addresses_in(center), now_s=_now_s())
        if state is LinkState.SOUND:
            self._why.pop(address, None)
        is_reached = result.direct or result.others is Reach.REACHED
        if is_reached and LinkState.CUT in (before, state):
            self.on_reached(self._view.upstream_at(address))

    def _log_change(self, event, address, **more):
        record = self._view.upstream_at(address)
        _log.info(
            event,
            upstream=record.upstream if record else None,
            address=address,
            data_center=record.data_center if record else None,
            why=self._why.get(address, ""),
            cut=len(self._links.cut),
            **more,
        )

    def _avoid_helper(self, helper):
        self._connector.link_client.avoid(helper)
        self._pool.close_idle_by({helper})


def _now_s():
    return asyncio.get_running_loop().time()

"""Sends the heartbeats of this instance, as an entry, to homes.

One heartbeat renews all grants held at a home and carries the pending
releases and load reports.  Releases are sent within a few milliseconds,
because the next request waits for the memory they free.
"""

import random
import threading
from concurrent.futures import ThreadPoolExecutor

import structlog

from currantdeal.adapters.errors import PeerError
from currantdeal.membership import (
    HeldKey,
    PassedReports,
    Sync,
    decode_loads,
    digest_of,
    encode_loads,
)

RELEASE_BATCH_S = 0.005
"""Delay of a release, within which further ones join the same heartbeat."""

MAX_IDLE_HOMES = 16
"""Homes without grants that also get heartbeats, to learn their loads."""

NEAREST_INTERVAL_S = 0.5
"""Interval at which the nearest homes are selected again."""

IDLE_INTERVAL_FACTOR = 2
"""Factor of the heartbeat interval at homes where nothing is held."""

SYNC_THREADS = 8

_log = structlog.get_logger(__name__)


class _Link:
    def __init__(self):
        self.released = []
        self.reports = {}
        self.held_wanted = False
        self.loads_after = 0
        self.busy = False
        self.sent_s = float("-inf")


class HomeLinks:
    """Sends heartbeats, releases and load reports to homes.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    process : int
        Incarnation number of this process.
    reservations : HeldReservations
        Grants that this instance holds.
    calls : HomeCalls
        Client for calls to other instances.
    members : MembersPort
        The known instances and their status.
    state : StatePort
        Records the home of each upstream.
    clock : Clock
        Source of time.
    heartbeat_s : float
        Interval between heartbeats.
    silence_s : float
        Time without a heartbeat after which a home cancels the grants of this
        instance.
    """

    def __init__(
        self,
        *,
        instance,
        process,
        reservations,
        calls,
        members,
        state,
        clock,
        heartbeat_s,
        silence_s,
    ):
        """Start with no links."""
        self._instance = instance
        self._process = process
        self._reservations = reservations
        self._calls = calls
        self._members = members
        self._state = state
        self._clock = clock
        self._heartbeat_s = heartbeat_s
        self._silence_s = silence_s
        self._links = {}
        self._loads = {}
        self._passed_on = set()
        self._holding_homes = set()
        self._nearest = set()
        self._nearest_due_s = 0.0
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._stopped = False
        self._pool = ThreadPoolExecutor(
            max_workers=SYNC_THREADS, thread_name_prefix="home-link"
        )

    def start(self):
        """Start the thread that sends heartbeats."""
        threading.Thread(
            target=self._run, name="home-links", daemon=True
        ).start()

    def stop(self):
        """Stop sending heartbeats."""
        self._stopped = True
        self._wake.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def release(self, home, upstream_id, request_id):
        """Release a reservation with the next heartbeat."""
        key = HeldKey(upstream_id=upstream_id, request_id=request_id)
        with self._lock:
            self._link(home).released.append(key)
        self._wake.set()

    def report(self, report, *, passed_on=False):
        """Relay a load report to the upstream's home.

        Parameters
        ----------
        passed_on : bool
            True when another instance has already relayed the report.  It
            is then not relayed again if the home is unreachable; otherwise
            reports to a dead home would circulate forever.
        """
        if passed_on:
            self._passed_on.add(report.upstream_id)
        else:
            self._passed_on.discard(report.upstream_id)
        self._loads[report.upstream_id] = report
        home = self._state.view().homes.get(report.upstream_id)
        if home is None:
            return
        with self._lock:
            link = self._link(home.instance)
            link.reports[report.upstream_id] = report

    def load(self, upstream_id):
        """Return the last reported load, or None."""
        return self._loads.get(upstream_id)

    def _link(self, home):
        link = self._links.get(home)
        if link is None:
            link = _Link()
            self._links[home] = link
        return link

    def _run(self):
        while not self._stopped:
            self._wake.wait(self._heartbeat_s / 4)
            if self._wake.is_set():
                self._wake.clear()
                self._clock.sleep(RELEASE_BATCH_S)
            try:
                self._send_due(self._clock.monotonic_s())
            except Exception:
                # Without this thread all grants of this instance expire
                # while their streams are running, and homes cancel them.
                # During a stop the pool rejects new tasks, which is no error.
                if not self._stopped:
                    _log.exception("heartbeats failed")

    def _send_due(self, now_s):
        wanted = self._target_homes()
        with self._lock:
            for home in wanted:
                self._link(home)
            for home in set(self._links) - wanted:
                if not self._links[home].busy:
                    del self._links[home]
            due = [
                (home, link)
                for home, link in self._links.items()
                if not link.busy and self._is_due(home, link, now_s)
            ]
            for _, link in due:
                link.busy = True
        for home, link in due:
            self._pool.submit(self._sync, home, link)

    def _is_due(self, home, link, now_s):
        if link.released or link.held_wanted:
            return True
        interval_s = self._heartbeat_s
        if home not in self._holding_homes and not link.reports:
            interval_s *= IDLE_INTERVAL_FACTOR
        return now_s >= link.sent_s + interval_s

    def _target_homes(self):
        holding = self._holding_homes = self._reservations.homes()
        with self._lock:
            waiting = {
                home
                for home, link in self._links.items()
                if link.released or link.reports
            }
        return holding | waiting | self._nearest_homes()

    def _nearest_homes(self):
        now_s = self._clock.monotonic_s()
        if now_s >= self._nearest_due_s:
            # Sorting hundreds of homes ten times a second would take more
            # CPU time than all heartbeats together.
            self._nearest_due_s = now_s + NEAREST_INTERVAL_S
            state = self._state.view()
            found = {m.instance: m for m in self._members.members()}
            homes = {home.instance for home in state.homes.values()}
            nearest = sorted(homes, key=lambda h: self._distance(h, found))
            self._nearest = set(nearest[:MAX_IDLE_HOMES])
        return self._nearest

    def _distance(self, home, found):
        member, me = found.get(home), found.get(self._instance)
        if member is None or me is None:
            return 3, home
        distance = (member.data_center != me.data_center) + (
            member.region != me.region
        )
        return distance, home

    def _sync(self, home, link):
        try:
            self._send_heartbeat(home, link)
        except Exception:
            # Nothing reads the result of the future, so the exception would
            # be lost.
            _log.exception("heartbeat to a home failed", home=home)
        finally:
            link.busy = False

    def _send_heartbeat(self, home, link):
        reports = self._drain_reports(link)
        beat = self._build_heartbeat(home, link, reports)
        try:
            answer = self._calls.sync(
                home, beat, timeout_s=self._silence_s / 2
            )
        except PeerError:
            link.held_wanted = False
            self._handle_failure(home, reports)
            return
        link.loads_after = answer.loads_after
        link.held_wanted = answer.list_wanted
        self._loads.update(
            (report.upstream_id, report)
            for report in decode_loads(answer.loads)
        )
        for key in answer.lost:
            self._reservations.remove(key.upstream_id, key.request_id)

    def _drain_reports(self, link):
        with self._lock:
            reports, link.reports = tuple(link.reports.values()), {}
        return reports

    def _build_heartbeat(self, home, link, reports):
        with self._lock:
            released, link.released = tuple(link.released), []
        link.sent_s = self._clock.monotonic_s()
        held = self._reservations.of_home(home)
        keys = [(h.request.upstream_id, h.request.request_id) for h in held]
        return Sync(
            entry=self._instance,
            process=self._process,
            claims=digest_of(keys),
            held=_held_keys(keys) if link.held_wanted else None,
            released=released,
            reports=encode_loads(reports) if reports else b"",
            loads_after=link.loads_after,
        )

    def _handle_failure(self, home, reports):
        # Releases are not kept for a retry: without them the digest differs,
        # and the home requests the full list.
        direct = tuple(
            report
            for report in reports
            if report.upstream_id not in self._passed_on
        )
        if direct:
            self._pass_on(home, direct)

    def _pass_on(self, home, reports):
        others = [
            member.instance
            for member in self._members.members()
            if member.instance not in (home, self._instance)
            and member.status.value == "alive"
        ]
        if not others:
            return
        try:
            self._calls.pass_on(
                random.choice(others),
                PassedReports(reports=reports),
                timeout_s=self._silence_s / 4,
            )
        except PeerError:
            return


def _held_keys(keys):
    return tuple(
        HeldKey(upstream_id=upstream_id, request_id=request_id)
        for upstream_id, request_id in keys
    )

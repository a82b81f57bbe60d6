"""Builds and runs a control process: a Raft replica and its services."""

import asyncio
import random
from collections import defaultdict
from pathlib import Path

import structlog

from currantdeal.adapters.disk import DataFolder, StateFile
from currantdeal.adapters.metrics import Metrics
from currantdeal.cli.process import (
    EXIT_MARGIN_S,
    SETTINGS_INTERVAL_S,
    LoopDelay,
    MetricsEndpoint,
    SettingsFile,
    StopSignal,
    call_periodically,
    install_reload_handler,
    keep_running,
    report_unhandled_errors,
    run_until,
)
from currantdeal.consensus import MESSAGE_CODEC
from currantdeal.consensus import NodeSettings as RaftSettings
from currantdeal.control.config_access import ConfigAccess
from currantdeal.control.confirmation import ViewConfirmation
from currantdeal.control.crash_replicator import CrashReplicator
from currantdeal.control.demand_tracker import DemandTracker
from currantdeal.control.engine_speeds import EngineSpeeds
from currantdeal.control.exchange import RecordExchange
from currantdeal.control.leader_link import LeaderLink
from currantdeal.control.limit_control import LimitControl
from currantdeal.control.membership import JOIN_INTERVAL_S, Membership
from currantdeal.control.operations import ControlOperations
from currantdeal.control.orders import PLAN_INTERVAL_S, StageOrders
from currantdeal.control.quota_owner import QuotaOwner
from currantdeal.control.record_store import (
    RecordStore,
    SavedCrashes,
    SavedLeaves,
)
from currantdeal.control.replica import Replica
from currantdeal.control.service import ControlService
from currantdeal.core import boot_time_s
from currantdeal.node.connection_pool import ConnectionPool
from currantdeal.node.http_server import HttpServer
from currantdeal.node.messages import ControlPlace, RaftNotice
from currantdeal.node.peer_watch import peer_watch
from currantdeal.node.peers import (
    HEARTBEAT_S,
    PeerConnection,
    PeerLink,
    peer_memory,
)
from currantdeal.node.settings import split_address
from currantdeal.node.suspect_log import set_crash_gauges
from currantdeal.organisations import LimitedService, RetryAllowance
from currantdeal.platform.bounds import read_bounds
from currantdeal.platform.calls import PlatformCalls
from currantdeal.platform.control import PlatformControl
from currantdeal.policy.load.shared_load import LOAD_INTERVAL_S
from currantdeal.policy.speed.paces import PACE_INTERVAL_S

RAFT_HEARTBEAT_S = 0.1
ELECTION_S = 0.4
"""Shortest silence of the leader before an election, in seconds.

It is four missed heartbeats and thirty times the delay between regions.
After a kill of all processes the entries wait for an election.  A pre-vote
precedes each election, so that a leader that is only slow is not deposed.
"""

FIRST_ELECTION_S = 0.1
"""The same for a replica that has had no leader since its start.

After a kill of all processes there is no leader to wait for, and callers are
refused until one is elected.  If there is a leader, the other replicas
receive its heartbeats and refuse the pre-vote.
"""

CRASHES_FILE = "crashes"
"""Name of the file in the data folder that holds the crash records."""

LEAVES_FILE = "leaves"
"""Name of the file there that holds the upstreams that have left."""

LEADER_TRANSFER_S = 0.6
"""Minimum time between the stop request and the exit, in seconds.

It is the time for the transfer of leadership to another replica.
"""

CHECK_INTERVAL_S = 0.02
"""Interval at which a stopping instance looks for operations in progress."""

_log = structlog.get_logger(__name__)


class ControlProcess:
    """One control instance.

    Parameters
    ----------
    settings : NodeSettings
        Settings at the start of the process.
    path : str
        Path of the file that they were read from.
    """

    def __init__(self, *, settings, path):
        """Build the parts; ``run`` starts them and listens."""
        self._file = SettingsFile(settings=settings, path=path)
        self._own_address = settings.peer_address
        self._links = {}
        self._metrics = Metrics()
        self._replica = Replica(
            local_id=self._own_address,
            folder=DataFolder(path=settings.data_folder),
            node_settings=RaftSettings(
                heartbeat_s=RAFT_HEARTBEAT_S,
                election_s=ELECTION_S,
                first_election_s=FIRST_ELECTION_S,
            ),
            random=random.Random(),
            clock=boot_time_s,
            send=self._send,
            on_state=self._on_state,
        )
        self._membership = Membership(
            local_id=self._own_address,
            replica=self._replica,
            links=self._link,
            initial_addresses=lambda: self._file.current.control_peers,
            clock=boot_time_s,
        )
        bounds = read_bounds(settings.bounds)
        self._grace_s = bounds.grace_s
        dialect = PlatformControl()
        self._leave_store = _record_store(settings, LEAVES_FILE, SavedLeaves)
        self._exchange = exchange = self._make_exchange(settings)
        self._speeds = EngineSpeeds(
            paces=lambda: self._service.paces,
            logs=lambda: self._replica.is_leader,
        )
        demand = DemandTracker(
            clock=boot_time_s, s_per_token=self._speeds.s_per_token
        )
        self._crash_store = _record_store(settings, CRASHES_FILE, SavedCrashes)
        self._crashes = CrashReplicator(
            exchange=exchange,
            clock=boot_time_s,
            on_change=self._crash_store.save,
        )
        leader_link = LeaderLink(
            replica=self._replica,
            links=self._link,
            local_id=self._own_address,
        )
        config = ConfigAccess(replica=self._replica, leader_link=leader_link)
        self._service = ControlService(
            dialect=dialect,
            replica=self._replica,
            membership=self._membership,
            config=config,
            exchange=exchange,
            demand=demand,
            crashes=self._crashes,
            confirmation=ViewConfirmation(
                replica=self._replica,
                leader_link=leader_link,
                supports=exchange.supports_organisations,
                clock=boot_time_s,
            ),
            quotas=QuotaOwner(
                replica=self._replica,
                leader_link=leader_link,
                supports=exchange.supports_organisations,
                entries=lambda: self._service.sizes["entries"],
                limited=lambda config: config.organisations or (),
                margin=bounds.quota_margin,
                grants_unlimited=True,
                clock=boot_time_s,
            ),
            retry_budgets=QuotaOwner(
                replica=self._replica,
                leader_link=leader_link,
                supports=exchange.supports_retries,
                entries=lambda: self._service.sizes["entries"],
                limited=lambda config: _retry_allowances(config, bounds),
                margin=None,
                grants_unlimited=False,
                clock=boot_time_s,
            ),
            limits=LimitControl(
                replica=self._replica,
                leader_link=leader_link,
                supports=exchange.supports_limits,
                clock=boot_time_s,
            ),
            clock=boot_time_s,
        )
        self._operations = ControlOperations(
            dialect=dialect,
            config=config,
            exchange=exchange,
            has_leader=lambda: self._service.has_leader,
            clock=boot_time_s,
        )
        self._orders = StageOrders(
            local_id=settings.instance,
            replica=self._replica,
            exchange=exchange,
            demand=demand,
            pool=ConnectionPool(metrics=self._metrics),
            dialect=PlatformCalls(),
            min_order_interval_s=bounds.min_order_interval_s,
            clock=boot_time_s,
            held_tokens=lambda: self._service.held_tokens,
            slowdowns=self._speeds.slowdowns,
        )
        self._server = HttpServer(handler=self._operations.handle)

    async def run(self, *, stop_requested):
        """Run until SIGTERM or SIGINT, then transfer leadership and leave.

        Parameters
        ----------
        stop_requested : callable
            Returns whether a signal to stop arrived before ``run``.
        """
        settings = self._file.current
        stop_signal = StopSignal()
        stop_signal.install()
        install_reload_handler(self._file.reload)
        report_unhandled_errors(self._metrics)
        if stop_requested():
            stop_signal.request()
        _log.info(
            "started",
            role="control",
            address=self._own_address,
            control=settings.control_addresses,
            term=self._replica.node.term,
            version=self._replica.state.version,
            blank=self._replica.node.blank,
            voters=self._replica.node.configuration.voter_names,
        )
        self._membership.bootstrap(first_start=bool(settings.first_start))
        self._service.on_state(self._replica.state)
        self._load_records()
        await self._listen(settings)
        await run_until(
            stop_signal.requested,
            LoopDelay(metrics=self._metrics).run(),
            self._replica.run(),
            self._repeat(SETTINGS_INTERVAL_S, self._file.reload_if_changed),
            self._repeat(HEARTBEAT_S, self._service.send_heartbeat),
            self._repeat(LOAD_INTERVAL_S, self._service.publish_loads),
            self._repeat(PACE_INTERVAL_S, self._speeds.observe),
            self._repeat(JOIN_INTERVAL_S, self._membership.join_if_needed),
            keep_running(self._crash_store.run, metrics=self._metrics),
            keep_running(self._leave_store.run, metrics=self._metrics),
            self._repeat(PLAN_INTERVAL_S, self._orders.step),
        )
        await self._leave_replica_set(stop_signal.at_s)

    async def _leave_replica_set(self, stop_s):
        exit_s = stop_s + self._grace_s - EXIT_MARGIN_S
        _log.info("stopping", leads=self._replica.is_leader)
        self._replica.node.transfer(boot_time_s())
        await asyncio.gather(
            asyncio.sleep(LEADER_TRANSFER_S), self._membership.leave()
        )
        cut = await self._end_operations(exit_s)
        peer_watch().release()
        _log.info("stopped", cut=cut)

    async def _end_operations(self, exit_s):
        """Answer the operations in progress, each of which has a time limit.

        Returns
        -------
        int
            Number of those that end without an answer.
        """
        loop = asyncio.get_running_loop()
        self._server.stop_listening()
        self._server.close_idle()
        _log.info("listeners-closed", operations=self._server.active_requests)
        while self._server.active_requests and loop.time() < exit_s:
            await asyncio.sleep(CHECK_INTERVAL_S)
        cut = self._server.active_requests
        self._server.hand_over()
        await asyncio.sleep(CHECK_INTERVAL_S)
        await self._server.cut_all()
        return cut

    def _repeat(self, interval_s, action):
        return call_periodically(interval_s, action, metrics=self._metrics)

    def _make_exchange(self, settings):
        return RecordExchange(
            local_place=ControlPlace(
                address=self._own_address, data_center=settings.data_center
            ),
            control=lambda: self._membership.control_addresses,
            voters=lambda: self._membership.voter_addresses,
            links=self._link,
            heartbeat_s=settings.heartbeat_ms / 1_000.0,
            has_leader=lambda: self._replica.has_leader,
            clock=boot_time_s,
            save_leaves=self._leave_store.save,
        )

    def _load_records(self):
        self._crashes.load(self._crash_store.load())
        self._exchange.load_leaves(self._leave_store.load())

    async def _listen(self, settings):
        loop = asyncio.get_running_loop()
        received = peer_memory()
        await loop.create_server(
            lambda: PeerConnection(
                on_notice=self._service.on_notice,
                on_call=self._service.on_call,
                on_lost=self._service.on_lost,
                received=received,
            ),
            settings.address,
            settings.peer_port,
        )
        wanted = (settings.listen.control, settings.listen.directory)
        for address in filter(None, dict.fromkeys(wanted)):
            await self._server.start(*split_address(address))
        metrics_endpoint = MetricsEndpoint(
            metrics=self._metrics, refresh=self._set_gauges
        )
        await metrics_endpoint.start(settings.listen.metrics)

    def _set_gauges(self):
        node = self._replica.node
        self._metrics.set("config_version", self._replica.state.version)
        self._metrics.set("term", node.term)
        self._metrics.set("leads", float(self._replica.is_leader))
        self._metrics.set("knows_leader", float(self._service.has_leader))
        self._metrics.set("voters", len(node.configuration.voter_names))
        self._metrics.set("learners", len(node.configuration.learner_names))
        self._metrics.set("quorum", node.configuration.quorum)
        silent = node.silent_members(boot_time_s())
        self._metrics.set("silent_replicas", len(silent))
        self._metrics.set("log_index", node.commit_index)
        set_crash_gauges(self._metrics, self._crashes.registry)
        self._speeds.set_gauges(self._metrics)
        for name, value in self._service.sizes.items():
            self._metrics.set(name, value)

    def _on_state(self, state):
        self._service.on_state(state)

    def _send(self, messages):
        by_replica = defaultdict(list)
        for message in messages:
            by_replica[message.to].append(MESSAGE_CODEC.encode(message))
        for replica, encoded in by_replica.items():
            self._link(replica).notify(RaftNotice(messages=tuple(encoded)))

    def _link(self, address):
        link = self._links.get(address)
        if link is None:
            link = PeerLink(address=address)
            self._links[address] = link
        return link


def _record_store(settings, name, content_type):
    """Return the store of records in a file of the data folder."""
    return RecordStore(
        file=StateFile(path=Path(settings.data_folder) / name),
        content_type=content_type,
    )


def _retry_allowances(config, bounds):
    """Return the services of a configuration with their allowances."""
    allowance = RetryAllowance(
        units=bounds.retry_burst, window_s=bounds.retry_window_s
    )
    return tuple(
        LimitedService(name=service.name, quota=allowance)
        for service in config.services
    )

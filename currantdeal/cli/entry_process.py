"""Builds and runs an entry process, which serves callers."""

import random
import time

import msgspec
import structlog

from currantdeal.adapters.metrics import Metrics
from currantdeal.cli.entry_drain import EntryDrain
from currantdeal.cli.process import (
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
from currantdeal.core import boot_time_s
from currantdeal.entry.caller_directory import CallerDirectory
from currantdeal.entry.context import EntryContext
from currantdeal.entry.directory_server import DirectoryServer
from currantdeal.entry.helpers import Helpers
from currantdeal.entry.link_watch import TICK_S
from currantdeal.entry.retry_budgets import RetryRatio
from currantdeal.entry.service import EntryService
from currantdeal.entry.subscription import Subscription
from currantdeal.entry.view import EntryView
from currantdeal.node.connection_pool import ConnectionPool
from currantdeal.node.http_server import HttpServer
from currantdeal.node.link_client import LinkClient
from currantdeal.node.link_server import LinkServer
from currantdeal.node.settings import split_address
from currantdeal.node.suspect_log import set_crash_gauges
from currantdeal.platform.bounds import read_bounds
from currantdeal.platform.calls import PlatformCalls
from currantdeal.platform.config import decode_config
from currantdeal.platform.control import PlatformControl
from currantdeal.policy.load.shared_load import LOAD_INTERVAL_S
from currantdeal.policy.placement.helper_choice import HelperChoice
from currantdeal.registry import EntryRecord

QUOTA_REFILL_S = 1.0
"""Interval at which the reserves of quotas are checked."""

STARTUP_S = 4.0
"""Time after the start in which a first configuration is expected."""

RECENT_NOTICE_S = 1.2
"""Silence of the source up to which a confirmation is expected soon."""

_log = structlog.get_logger(__name__)


class EntryProcess:
    """One entry instance.

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
        self._started_ms = int(time.time() * 1_000)
        self._started_s = time.monotonic()
        self._sequence = 0
        self._ready = True
        self._bounds = read_bounds(settings.bounds)
        self._metrics = Metrics()
        self._view = EntryView(
            read_config=decode_config,
            data_center=settings.data_center,
            region=settings.region,
            region_of=settings.region_of,
            heartbeat_s=settings.heartbeat_ms / 1_000.0,
            clock=time.monotonic,
        )
        self._context = EntryContext(
            view=self._view,
            pool=ConnectionPool(metrics=self._metrics),
            dialect=PlatformCalls(),
            random=random.Random(),
            retry_ratio=RetryRatio(
                ratio=self._bounds.retry_ratio,
                window_s=self._bounds.retry_window_s,
            ),
            metrics=self._metrics,
            revocation_s=self._bounds.revocation_s,
            distance=settings.distance,
        )
        self._service = EntryService(context=self._context)
        self._directory = CallerDirectory(
            own_record=self._own_record,
            silence_s=lambda: self._subscription.silence_s,
        )
        self._directory_server = DirectoryServer(
            dialect=PlatformControl(), directory=self._directory
        )
        self._subscription = Subscription(
            view=self._view,
            own_record=self._own_record,
            seeds=lambda: self._file.current.control_peers,
            collect_demand=self._context.collect_demand,
            report_load=self._context.report_load,
            update_load=self._context.update_load,
            record_local_prefill=self._context.record_local_prefill,
            record_unreachable=self._context.record_unreachable,
            crash_watch=self._context.crash_watch,
            limits=self._context.limits,
            update_entries=self._update_entries,
            clock=time.monotonic,
        )
        notices = self._subscription.engine_notices
        self._context.announce_local_prefill = notices.announce_local_prefill
        self._context.announce_unreachable = notices.report_unreachable
        self._context.crash_watch.publish = self._subscription.publish_crashes
        self._context.access.look_up = self._look_up_config
        self._context.access.may_recover = self._may_recover
        self._context.quotas.ask_owner = self._ask_credit
        self._context.retry_budgets.connect(self._ask_retry_credit)
        self._context.limits.ask_owner = (
            self._subscription.control_calls.ask_limit
        )
        self._context.limits.publish = self._subscription.announce
        self._connect_links(settings)
        self._server = HttpServer(
            handler=self._service.handle,
            limits=lambda: self._view.limits,
            on_refused=self._record_malformed,
            on_untaken=self._service.log.record_untaken,
        )

    def _connect_links(self, settings):
        """Build both ends of the links through other entries."""
        context = self._context
        pool = context.pool
        self._helpers = Helpers(
            own_instance=settings.instance,
            peer_port=settings.peer_port,
            distance_to=self._view.distance_to,
            on_gone=self._drop_helpers,
        )
        pool.connector.link_client = LinkClient(
            choice=HelperChoice(random=context.random),
            groups=lambda: self._helpers.groups,
            metrics=self._metrics,
        )
        self._link_server = LinkServer(
            links=pool.connector.links,
            is_upstream=lambda address: address in self._view.addresses,
            on_doubt=context.link_watch.doubt,
            metrics=self._metrics,
        )
        context.link_watch.on_cut = self._link_server.abort

    def _drop_helpers(self, helpers):
        self._context.pool.close_idle_by(helpers)
        self._context.pool.connector.traffic.forget_helpers(helpers)

    def _update_entries(self, notice):
        self._directory.merge(notice)
        self._helpers.update(self._directory.records)

    async def run(self, *, stop_requested):
        """Run until SIGTERM or SIGINT, then drain and return.

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
        _log.info(
            "started",
            role="entry",
            address=settings.listen.callers,
            control=settings.control_addresses,
        )
        if stop_requested():
            # It has accepted no connection, so that there is nothing to drain.
            _log.info("stopped", cut=0)
            return
        await self._listen(settings.listen)
        await run_until(
            stop_signal.requested,
            LoopDelay(metrics=self._metrics).run(),
            keep_running(self._subscription.run, metrics=self._metrics),
            self._repeat(LOAD_INTERVAL_S, self._subscription.send_load),
            self._repeat(TICK_S, self._context.link_watch.tick),
            self._repeat(QUOTA_REFILL_S, self._refill_quotas),
            self._repeat(SETTINGS_INTERVAL_S, self._reload_settings),
        )
        await self._drain(stop_signal.at_s)

    def _repeat(self, interval_s, action):
        return call_periodically(interval_s, action, metrics=self._metrics)

    async def _listen(self, listen):
        await self._server.start(*split_address(listen.callers))
        readiness_server = HttpServer(handler=self._answer_readiness)
        await readiness_server.start(*split_address(listen.readiness))
        await self._directory_server.start(listen.directory)
        await self._link_server.start(
            self._file.current.address, self._file.current.peer_port
        )
        metrics_endpoint = MetricsEndpoint(
            metrics=self._metrics,
            refresh=self._set_gauges,
            pages={"/explain-route": self._explain},
        )
        await metrics_endpoint.start(listen.metrics)

    def _explain(self, body):
        # Imported when it is asked, as memory is paid for.
        from currantdeal.entry.explanation import Question, explain

        question = msgspec.json.decode(body, type=Question)
        return msgspec.json.encode(explain(self._context, question))

    def _may_recover(self):
        """Return whether this entry is likely to get a usable view soon."""
        running_s = time.monotonic() - self._started_s
        if running_s < STARTUP_S:
            return True
        return self._subscription.silence_s < RECENT_NOTICE_S

    def _reload_settings(self):
        self._file.reload_if_changed()
        self._context.departures.costs.settings = self._file.current.distance

    def _refill_quotas(self):
        table = self._view.route_table
        if table is not None:
            self._context.quotas.refill(table.organisations)

    async def _look_up_config(self):
        return await self._subscription.control_calls.confirm(fresh=True)

    async def _ask_credit(self, asks):
        return await self._subscription.control_calls.ask_credit(
            self._file.current.instance, asks
        )

    async def _ask_retry_credit(self, asks):
        return await self._subscription.control_calls.ask_retry_credit(
            self._file.current.instance, asks
        )

    @property
    def _is_ready(self):
        return self._ready and self._view.route_table is not None

    def _own_record(self):
        settings = self._file.current
        self._sequence += 1
        return EntryRecord(
            instance=settings.instance,
            address=settings.listen.callers,
            data_center=settings.data_center,
            region=settings.region,
            ready=self._is_ready,
            started_ms=self._started_ms,
            sequence=self._sequence,
        )

    async def _drain(self, stop_s):
        self._ready = False
        self._subscription.announce()
        drain = EntryDrain(
            server=self._server,
            service=self._service,
            link_server=self._link_server,
            grace_s=self._bounds.grace_s,
            random=self._context.random,
        )
        await drain.run(stop_s)

    def _set_gauges(self):
        view = self._view
        self._metrics.set("config_version", view.version)
        self._metrics.set("view_age_seconds", view.age_s)
        if view.confirmed_boot_s > 0.0:
            age_s = boot_time_s() - view.confirmed_boot_s
            self._metrics.set("confirmation_age_seconds", age_s)
        self._metrics.set("requests_in_progress", self._server.active_requests)
        self._metrics.set("entries", view.entries)
        links = self._context.pool.connector.links
        self._metrics.set("links_cut", len(links.cut))
        self._metrics.set("links_unsound", len(links.unsound))
        self._metrics.set("links_carried", self._link_server.open_links)
        set_crash_gauges(self._metrics, self._context.crash_watch.registry)
        for name, left in self._context.retry_budgets.left().items():
            self._metrics.set("retry_budget_left", left, service=name)
        route_table = view.route_table
        for service in route_table.services if route_table is not None else ():
            self._metrics.set(
                "upstreams",
                len(view.ready(service.name)),
                service=service.name,
            )

    async def _answer_readiness(self, request, responder):
        status = 200 if self._is_ready else 503
        responder.answer(status, (), b"")

    def _record_malformed(self, status, reason, detail):
        self._metrics.add("rejected_total", status=str(status))
        _log.info(
            "request-malformed", status=status, why=reason, detail=detail
        )

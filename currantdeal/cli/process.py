"""Settings reload, signals and metrics of entry and control processes."""

import asyncio
import inspect
import os
import signal
import time

import structlog

from currantdeal.core import DECODE_ERRORS
from currantdeal.node.errors import SettingsFileError
from currantdeal.node.http_server import HttpServer
from currantdeal.node.settings import read_settings, split_address

RESTART_PAUSE_S = 1.0
"""Pause before a task that raised is started again, in seconds."""

EXIT_MARGIN_S = 0.4
"""Seconds between the exit of the process and its kill by the platform."""

SETTINGS_INTERVAL_S = 2.0
"""Interval between checks of the settings file, in seconds.

The file may change without a signal.  Its changes take effect over minutes,
so that a delay of seconds does no harm.
"""

_log = structlog.get_logger(__name__)


class SettingsFile:
    """The settings in force, reloaded when their file changes.

    An invalid file leaves the previous settings in force.  A process that
    applied a part of it, or exited, would be missing at the next restart of
    the processes beside it.
    """

    def __init__(self, *, settings, path):
        """Start with the settings that the process was started with."""
        self._settings = settings
        self._path = path
        self._last_stamp = self._read_stamp()

    @property
    def current(self):
        """The settings in force."""
        return self._settings

    def reload(self):
        """Read the file again; keep the old settings if it is invalid."""
        self._last_stamp = self._read_stamp()
        try:
            self._settings = read_settings(self._path)
        except SettingsFileError as exc:
            _log.error("settings-refused", why=str(exc))
            return
        _log.info(
            "settings-reloaded", control=self._settings.control_addresses
        )

    def reload_if_changed(self):
        """Reload if the file has changed since it was read."""
        if self._read_stamp() != self._last_stamp:
            self.reload()

    def _read_stamp(self):
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return (status.st_mtime_ns, status.st_size, status.st_ino)


class StopSignal:
    """The request to stop the process, by SIGTERM or SIGINT.

    The platform counts the grace period from the signal, which a loop that
    is late handles late.

    Attributes
    ----------
    requested : asyncio.Event
        Set once the loop has handled the first signal.
    at_s : float or None
        Loop time of the first signal.
    """

    def __init__(self):
        """Wait for the signal once ``install`` was called."""
        self.requested = asyncio.Event()
        self.at_s = None

    def install(self):
        """Handle both signals in the running loop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request)
            # The loop's own handler does nothing, as the loop is woken
            # through a file descriptor; this one records the time.
            signal.signal(number, lambda _number, _frame: self._record())
            signal.siginterrupt(number, False)

    def request(self):
        """Stop as if a signal had arrived now, unless one has before."""
        self._record()
        self.requested.set()

    def _record(self):
        if self.at_s is None:
            self.at_s = time.monotonic()


def install_reload_handler(reload):
    """Call ``reload`` at each SIGHUP."""
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)


class MetricsEndpoint:
    """Serves the metrics of a process over HTTP.

    Parameters
    ----------
    metrics : currantdeal.adapters.metrics.Metrics
        Registry of the process.
    refresh : callable
        Sets the gauges; called once per scrape, so that gauges cost nothing
        between scrapes.
    pages : dict or None
        Other pages by their path: functions that answer the body of a request
        with JSON bytes, or raise one of ``DECODE_ERRORS``.
    """

    def __init__(self, *, metrics, refresh, pages=None):
        """Listen only after ``start``."""
        self._metrics = metrics
        self._refresh = refresh
        self._pages = pages or {}

    async def start(self, address):
        """Listen at an address; do nothing if it is empty."""
        if address:
            server = HttpServer(handler=self._handle)
            await server.start(*split_address(address))

    async def _handle(self, request, responder):
        page = self._pages.get(request.head.target)
        if page is not None:
            _answer_page(page, request, responder)
            return
        self._refresh()
        content_type, text = self._metrics.render()
        headers = ((b"content-type", content_type.encode()),)
        responder.answer(200, headers, text)


def _answer_page(page, request, responder):
    headers = ((b"content-type", b"application/json"),)
    try:
        responder.answer(200, headers, page(request.body))
    except DECODE_ERRORS as exc:
        responder.answer(400, (), f"{exc}\n".encode())


class LoopDelay:
    """Measures the delay of the event loop.

    Parameters
    ----------
    metrics : currantdeal.adapters.metrics.Metrics
        Registry with the histogram of the delays.
    """

    INTERVAL_S = 0.5

    def __init__(self, *, metrics):
        """Measure only while ``run`` is running."""
        self._metrics = metrics

    async def run(self):
        """Record the delay of each sleep, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + self.INTERVAL_S
            await asyncio.sleep(self.INTERVAL_S)
            delay_s = max(0.0, loop.time() - due_s)
            self._metrics.observe("loop_delay_seconds", delay_s)


async def run_until(stopping, *work):
    """Run coroutines until an event is set, or until one of them has ended.

    Raises the error of one that has failed.
    """
    tasks = [asyncio.ensure_future(one) for one in (stopping.wait(), *work)]
    done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in done:
        task.result()


async def call_periodically(interval_s, action, *, metrics):
    """Call a function or coroutine function at an interval, until cancelled.

    A call that raises is logged and counted.  The next one may succeed, and
    the process does other work that does not depend on it.

    Parameters
    ----------
    metrics : currantdeal.ports.MetricsPort
        Counts the calls that raised.
    """
    while True:
        await asyncio.sleep(interval_s)
        try:
            result = action()
            if inspect.isawaitable(result):
                await result
        except Exception as exc:
            _report_failure(_name_of(action), exc, metrics)


async def keep_running(work, *, metrics):
    """Run a coroutine function until cancelled, and again when it raises.

    Parameters
    ----------
    work : callable
        Coroutine function that only ends by an error.
    metrics : currantdeal.ports.MetricsPort
        Counts the errors.
    """
    while True:
        try:
            await work()
        except Exception as exc:
            _report_failure(_name_of(work), exc, metrics)
        await asyncio.sleep(RESTART_PAUSE_S)


def report_unhandled_errors(metrics):
    """Log and count the errors that no task of the running loop handles.

    These are errors of tasks that nobody waits for, and of callbacks such as
    those of connections, which the loop then closes.  Neither ends the
    process.

    Parameters
    ----------
    metrics : currantdeal.ports.MetricsPort
        Counts the errors.
    """

    def report(_loop, context):
        error = context.get("exception") or context["message"]
        _report_failure(_failed_part(context), error, metrics)

    asyncio.get_running_loop().set_exception_handler(report)


def _failed_part(context):
    """Return a name for the source of an error that the loop reports."""
    task = context.get("future", context.get("task"))
    if isinstance(task, asyncio.Task):
        return _name_of(task.get_coro())
    if "protocol" in context:
        return type(context["protocol"]).__name__
    return "callback"


def _name_of(function):
    return getattr(function, "__qualname__", type(function).__name__)


def _report_failure(task, error, metrics):
    metrics.add("task_failures_total", task=task)
    is_raised = isinstance(error, BaseException)
    _log.error(
        "task-failed",
        task=task,
        why=repr(error),
        exc_info=error if is_raised else None,
    )

"""Stops an entry in stages, so that its requests end before the process."""

import asyncio
import math

import structlog

from currantdeal.cli.process import EXIT_MARGIN_S
from currantdeal.entry.progress import REFUSAL_MARGIN_S
from currantdeal.entry.service import STOPPING
from currantdeal.node.caller_connection import CLOSE_DELAY_S
from currantdeal.node.peer_watch import peer_watch
from currantdeal.policy.retries.retry_after import (
    RefusalReason,
    choose_retry_after_s,
)

REFUSE_STREAMS_AFTER_S = 2.5
"""Seconds after the stop request from which new streams are refused.

Those accepted before need the rest of the grace period to end.
"""

STOP_ACCEPTING_AFTER_S = 6.0
"""Seconds after the stop request from which no connection is accepted.

Most callers cache the answer of the directory for four seconds, a few for
longer.
"""

REFUSE_INCOMING_S = CLOSE_DELAY_S + 0.2
"""Seconds before the exit from which requests in receipt are refused."""

LAST_ANSWERS_S = 0.1
"""Seconds before the exit at which unanswered requests get an answer."""

CHECK_INTERVAL_S = 0.05
"""Interval at which the drain looks whether anything is in progress."""

_log = structlog.get_logger(__name__)


class EntryDrain:
    """Drains an entry.

    Parameters
    ----------
    server : HttpServer
        Accepts the connections of callers.
    service : EntryService
        Handles their requests.
    link_server : LinkServer
        Accepts links from other entries.
    grace_s : float
        Time between the request to stop and the forced kill.
    random : random.Random
        Source of the spread of retry-after times.
    """

    def __init__(self, *, server, service, link_server, grace_s, random):
        """Change nothing before ``run``."""
        self._server = server
        self._service = service
        self._link_server = link_server
        self._grace_s = grace_s
        self._random = random
        self._is_refusing = False

    async def run(self, stop_s):
        """Refuse, finish or cut what is in progress; returns at the exit.

        Calls that could outlast the process are refused first, then streams,
        then connections, then what waits and has not run.  Requests that may
        have run get an answer that says so if none has begun.  Streams that
        are still in progress are cut last.

        Parameters
        ----------
        stop_s : float
            Loop time of the request to stop.
        """
        exit_s = stop_s + self._grace_s - EXIT_MARGIN_S
        self._service.requests.stop(exit_s)
        self._server.closing = True
        self._link_server.stop()
        peer_watch().stop_probing()
        requests = self._server.active_requests
        _log.info("stopping", requests=requests, **self._counts)
        last_s = exit_s - REFUSAL_MARGIN_S
        await _sleep_until(min(stop_s + REFUSE_STREAMS_AFTER_S, last_s))
        self._service.refuse_streams = True
        await _sleep_until(min(stop_s + STOP_ACCEPTING_AFTER_S, last_s))
        self._server.stop_listening()
        self._server.close_idle()
        await self._finish_until(exit_s - REFUSE_INCOMING_S)
        self._is_refusing = True
        await self._finish_until(exit_s - LAST_ANSWERS_S)
        self._service.requests.end_unanswered()
        self._server.hand_over()
        await self._finish_until(exit_s)
        await self._cut_all()

    async def _finish_until(self, end_s):
        while self._is_in_use:
            if self._is_refusing:
                self._refuse_incoming()
            left_s = end_s - asyncio.get_running_loop().time()
            if left_s <= 0.0:
                return
            await asyncio.sleep(min(left_s, CHECK_INTERVAL_S))

    def _refuse_incoming(self):
        self._server.refuse_incoming(
            STOPPING,
            choose_retry_after_s=lambda: choose_retry_after_s(
                RefusalReason.STOPPING, math.inf, self._random
            ),
        )

    async def _cut_all(self):
        """Cut what is still in progress, each with a line of its own."""
        counts = self._counts
        cut = self._server.active_requests
        await self._server.cut_all()
        # What callers have not taken outlives the process in the kernel.
        peer_watch().release()
        requests = self._service.requests
        _log.info(
            "stopped",
            cut=cut,
            ended=requests.ended,
            broken_off=requests.broken_off,
            **counts,
        )

    @property
    def _counts(self):
        """Numbers of requests and answers by what they wait for."""
        return {
            "in_progress": self._service.requests.counts,
            "receiving": self._server.receiving,
            "untaken": self._server.untaken_answers,
            "links": self._link_server.open_links,
        }

    @property
    def _is_in_use(self):
        server = self._server
        return (
            server.active_requests
            or server.untaken_answers
            or server.receiving
            or server.refused
            or self._link_server.open_links
        )


async def _sleep_until(time_s):
    left_s = time_s - asyncio.get_running_loop().time()
    await asyncio.sleep(max(0.0, left_s))

"""Dependencies shared by all requests of one instance."""

import contextlib
from dataclasses import dataclass

import pykka

from currantdeal.core import (
    UpstreamCrashedError,
    UpstreamTimeoutError,
    UpstreamUnreachableError,
)
from currantdeal.ports import Clock, EnginePort, HomesPort, MetricsPort
from currantdeal.serving.cleanup import Cleaner
from currantdeal.serving.crash_guard import CrashGuard
from currantdeal.serving.disconnects import DisconnectMonitor
from currantdeal.serving.idle_timeouts import IdleTimeouts
from currantdeal.serving.reservations import Reserver
from currantdeal.serving.view import ServingView


@dataclass(frozen=True, kw_only=True)
class ServingContext:
    """Ports and helpers shared by all requests of one instance."""

    engines: EnginePort
    homes: HomesPort
    clock: Clock
    metrics: MetricsPort
    cleaner: Cleaner
    idle_timeouts: IdleTimeouts
    decisions: pykka.ActorProxy
    reserver: Reserver
    view: ServingView
    disconnects: DisconnectMonitor
    crashes: CrashGuard

    @contextlib.contextmanager
    def recording_failures(self, request, upstream):
        """Record a failure of the upstream that the block raises.

        The next attempts then avoid an upstream that was unreachable or
        timed out.  A crash is also recorded against the request.
        """
        try:
            yield
        except (UpstreamUnreachableError, UpstreamTimeoutError) as exc:
            if isinstance(exc, UpstreamCrashedError):
                self.crashes.record_crash(request, upstream)
            self.decisions.record_failure(request.work, upstream)
            raise

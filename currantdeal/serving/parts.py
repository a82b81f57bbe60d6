"""What the requests of one instance share."""

import contextlib
from dataclasses import dataclass

import pykka

from currantdeal.core import (
    UpstreamCrashedError,
    UpstreamSilentError,
    UpstreamUnreachableError,
)
from currantdeal.ports import Clock, EnginePort, HomesPort, MetricsPort
from currantdeal.serving.cleanup import Cleaner
from currantdeal.serving.crash_guard import CrashGuard
from currantdeal.serving.hangups import HangUpMonitor
from currantdeal.serving.reservations import Reserver
from currantdeal.serving.silence import SilenceLimits
from currantdeal.serving.view import ServingView


@dataclass(frozen=True, kw_only=True)
class ServingParts:
    """What the requests of one instance share."""

    engines: EnginePort
    homes: HomesPort
    clock: Clock
    metrics: MetricsPort
    cleaner: Cleaner
    silence: SilenceLimits
    decisions: pykka.ActorProxy
    reserver: Reserver
    view: ServingView
    hangups: HangUpMonitor
    crashes: CrashGuard

    @contextlib.contextmanager
    def blaming(self, request, upstream):
        """Let the next attempts avoid an upstream that gives no answer.

        One that crashed also counts against the request.
        """
        try:
            yield
        except (UpstreamUnreachableError, UpstreamSilentError) as exc:
            if isinstance(exc, UpstreamCrashedError):
                self.crashes.crashed(request, upstream)
            self.decisions.learn_failure(request.work, upstream)
            raise

"""What the requests of one instance share."""

import contextlib
from dataclasses import dataclass

import pykka

from currantdeal.core import UpstreamSilentError, UpstreamUnreachableError
from currantdeal.ports import Clock, EnginePort, HomesPort, MetricsPort
from currantdeal.serving.cleanup import Cleaner
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

    @contextlib.contextmanager
    def blaming(self, work, upstream):
        """Let the next attempts avoid an upstream that gives no answer."""
        try:
            yield
        except (UpstreamUnreachableError, UpstreamSilentError):
            self.decisions.learn_failure(work, upstream)
            raise

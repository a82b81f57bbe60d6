"""Builds the serving layer of one instance from its ports and clients."""

import random
from dataclasses import dataclass

import pykka

from currantdeal.serving.calls import CallService
from currantdeal.serving.claims import ClaimManager
from currantdeal.serving.cleanup import Cleaner
from currantdeal.serving.context import ServingContext
from currantdeal.serving.crash_guard import CrashGuard
from currantdeal.serving.decisions import Decisions
from currantdeal.serving.disconnects import DisconnectMonitor
from currantdeal.serving.generation import GenerationService
from currantdeal.serving.idle_timeouts import IdleTimeouts
from currantdeal.serving.inflight import InFlight
from currantdeal.serving.reservations import Reserver
from currantdeal.serving.view import ServingView


@dataclass(frozen=True, kw_only=True)
class Serving:
    """Services of one instance and the parts that run beside them.

    ``decisions`` is the proxy of an actor, which ``stop`` ends.
    """

    view: ServingView
    generation: GenerationService
    calls: CallService
    cleaner: Cleaner
    disconnects: DisconnectMonitor
    in_flight: InFlight
    decisions: pykka.ActorProxy

    def stop(self):
        """Stop the actor that makes the routing decisions."""
        self.decisions.actor_ref.stop(block=False)


def build_serving(
    *, settings, ports, engines, services, clock, metrics, limit
):
    """Return the serving layer of an instance.

    Parameters
    ----------
    ports : Ports
        Replicated state, homes and membership.
    engines, services : EnginePort, ServicePort
        Clients of the engines and of the plain services.
    limit : int
        Number of requests that are served concurrently.
    """
    context = _build_context(settings, ports, engines, clock, metrics)
    claims = ClaimManager(
        state=ports.state, instance=settings.instance, clock=clock
    )
    calls = CallService(
        services=services,
        claims=claims,
        view=context.view,
        decisions=context.decisions,
        crashes=context.crashes,
        clock=clock,
        metrics=metrics,
    )
    return Serving(
        view=context.view,
        generation=GenerationService(context=context),
        calls=calls,
        cleaner=context.cleaner,
        disconnects=context.disconnects,
        in_flight=InFlight(limit=limit),
        decisions=context.decisions,
    )


def _build_context(settings, ports, engines, clock, metrics):
    view = ServingView(state=ports.state)
    cleaner = Cleaner(
        engines=engines, homes=ports.homes, clock=clock, metrics=metrics
    )
    decisions = _start_decisions(settings, ports, view, clock)
    reserver = Reserver(
        instance=settings.instance,
        view=view,
        homes=ports.homes,
        decisions=decisions,
        cleaner=cleaner,
        clock=clock,
    )
    return ServingContext(
        engines=engines,
        homes=ports.homes,
        clock=clock,
        metrics=metrics,
        cleaner=cleaner,
        idle_timeouts=IdleTimeouts(max_s=settings.timing.stream_silence_s),
        decisions=decisions,
        reserver=reserver,
        view=view,
        disconnects=DisconnectMonitor(cleaner=cleaner),
        crashes=CrashGuard(),
    )


def _start_decisions(settings, ports, view, clock):
    actor = Decisions.start(
        instance=settings.instance,
        view=view,
        clock=clock,
        rng=random.Random(),
        load=ports.homes.load,
        weights=settings.weights,
        caller_weights=_caller_weights(settings.keys),
    )
    return actor.proxy()


def _caller_weights(keys):
    return {key.caller or key.name: key.weight for key in keys}

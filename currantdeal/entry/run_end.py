"""Checks and records the ends of runs, in order or not."""

import structlog

from currantdeal.core import Ran
from currantdeal.entry.steps import StepKind
from currantdeal.node.errors import InvalidResponseError
from currantdeal.policy.answers.answer_end import (
    Completeness,
    completeness,
    orderly_ending,
)
from currantdeal.policy.answers.reset_outcome import (
    ExchangePhase,
    reset_outcome,
)

_log = structlog.get_logger(__name__)


def check_end(head, position):
    """Return the ``Completeness`` of an answer that was received to its end.

    Parameters
    ----------
    head : ResponseHead
        Its head.
    position : Position
        Where in its events it ended.

    Raises
    ------
    InvalidResponseError
        If the answer was broken off.
    """
    found = completeness(head.framing, orderly_ending(head.framing), position)
    if found is Completeness.BROKEN_OFF:
        raise InvalidResponseError(
            f"ended {position.value} ({head.framing.value})",
            phase=ExchangePhase.WITHIN_ANSWER,
        )
    return found


def record_completeness(
    context, active, record, completeness, *, phase, events=0, succeeded=True
):
    """Tell the crash watch what is known of an answer that has ended.

    Parameters
    ----------
    phase, events
        See ``CrashWatch.check_lost_run``.
    succeeded : bool
        False if the upstream answered with an error.
    """
    if completeness is Completeness.WHOLE:
        context.crash_watch.record_completion(
            active, record, succeeded=succeeded
        )
    else:
        context.crash_watch.check_unknown_end(
            active, record, phase, events=events, succeeded=succeeded
        )


def record_end(context, active, record, head, events, position):
    """Record how an engine ended a stream, for health and the crash book.

    Parameters
    ----------
    record : UpstreamRecord
        The engine.
    head : ResponseHead
        Head of its answer.
    events : int
        Events of this run.
    position : Position
        Where in the events it ended.
    """
    context.health.record_answer(record.upstream, error=False)
    record_completeness(
        context,
        active,
        record,
        check_end(head, position),
        phase=ExchangePhase.BETWEEN_EVENTS,
        events=events,
    )
    active.add_step(
        StepKind.END,
        record.upstream,
        f"{head.framing.value}, {position.value}",
    )
    context.metrics.add(
        "streams_ended_total",
        framing=head.framing.value,
        position=position.value,
    )


def record_memory_use(context, active, events, duration_s):
    """Record the memory that a complete stream held.

    It grows with each event, so on average half of the output counts.

    Parameters
    ----------
    events : int
        Events of the whole answer.
    """
    output = events * active.service.engine.tokens_per_event
    tokens = active.call.prompt_tokens + output / 2
    context.meter(active.service.name).record_completed(tokens, duration_s)


def record_lost_run(
    context, active, reserver, run, exc, *, phase=None, events=0
):
    """Record a run that was lost, for health, the crash watch and the log.

    Parameters
    ----------
    reserver : MemoryReserver
        Excludes the engine for the rest of the generation.
    run : DecodeRun
        The run.
    exc : ExchangeError
        Its failure.
    phase : ExchangePhase or None
        Where in the whole answer it was lost; by default that of ``exc``.
    events : int
        Events of the run that were forwarded.
    """
    phase = phase or exc.phase
    record = run.record
    is_caller_slow = run.connection.may_be_cut
    if reset_outcome(active.kind, phase).ran is not Ran.NO:
        run.count()
    if isinstance(exc, InvalidResponseError):
        context.crash_watch.check_lost_run(
            active, record, phase, events=events
        )
    else:
        context.crash_watch.record_unfinished(active, record, events=events)
    reserver.exclude(record)
    if is_caller_slow and not exc.has_ended:
        active.add_failure_step(record.upstream, exc)
    else:
        reserver.record_unreachable(record, exc)
    _log.info(
        "stream-broken",
        request=active.call.request_id,
        upstream=record.upstream,
        events=events,
        moment=phase.value,
        caller_slow=is_caller_slow,
        why=str(exc),
    )

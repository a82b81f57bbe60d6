"""Records answers of upstreams that belong to no waiting request."""

from dataclasses import dataclass
from enum import Enum

import structlog

from currantdeal.policy.answers.answer_owner import AnswerOwner

MAX_LOGGED_ID = 64
"""Maximum length of an id in a log line, in characters."""

_log = structlog.get_logger(__name__)


class ExtraMoment(str, Enum):
    """When an extra answer arrived on its connection."""

    IDLE = "idle"
    BEFORE_OWN = "before-own"
    AFTER_OWN = "after-own"


@dataclass(frozen=True, kw_only=True)
class ExtraAnswer:
    """An answer that belongs to no request that waits for one.

    Parameters
    ----------
    address : str
        The upstream.
    moment : ExtraMoment
        When it arrived.
    owner : AnswerOwner
        What its id tells.
    request_id : bytes
        Id of the request that waits on the connection, or of the last one.
    answer_ids : tuple of bytes
        Ids that the answer bears.
    status : int
        Its status; 0 if its head cannot be read.
    """

    address: str
    moment: ExtraMoment
    owner: AnswerOwner
    request_id: bytes
    answer_ids: tuple[bytes, ...] = ()
    status: int = 0


class ExtraAnswerLog:
    """Logs and counts extra answers.

    Parameters
    ----------
    metrics : currantdeal.ports.MetricsPort or None
        Counts them; None counts nothing.
    """

    def __init__(self, *, metrics=None):
        """Store the metrics."""
        self._metrics = metrics

    def record(self, extra):
        """Log and count an ``ExtraAnswer``."""
        if self._metrics is not None:
            self._metrics.add(
                "extra_answers_total",
                moment=extra.moment.value,
                owner=extra.owner.value,
            )
        _log.info(
            "extra-answer",
            request=_text(extra.request_id),
            answers=",".join(_text(found) for found in extra.answer_ids),
            address=extra.address,
            moment=extra.moment.value,
            owner=extra.owner.value,
            status=extra.status,
        )


def _text(raw):
    return raw[:MAX_LOGGED_ID].decode("latin-1")

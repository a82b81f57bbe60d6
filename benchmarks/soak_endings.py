"""Soaks processes beside upstreams that end their answers in every way.

Answers come with a length, in chunks, with neither or of HTTP/1.0, and some
are broken off, while processes and connections fail.  Verified is that no
caller takes a part for a whole answer.
"""

import random
from collections import defaultdict

from benchmarks.soak_callers import verify_attempts
from benchmarks.soak_nodes import NodeSoak
from benchmarks.soak_upstreams import SoakUpstream
from currantdeal.testing.answer_shapes import (
    OPEN_SHAPES,
    Answer,
    Close,
    Shape,
    ShapedUpstream,
    events,
)
from currantdeal.testing.platform_upstream import EVENTS, event_numbers

BROKEN_OFF_SHARE = 0.15
LONGEST_PAUSE_S = 0.05
"""Longest pause between two events, so that faults hit streams midway."""


class EndingSoak(NodeSoak):
    """A soak whose upstreams draw the framing and the end of each answer."""

    def __init__(self, *, seed, **options):
        """Prepare the processes; ``run`` starts them."""
        self._answer_rng = random.Random(seed)
        self._closed = defaultdict(set)
        self._broken_off = set()
        super().__init__(seed=seed, **options)

    def _make_upstreams(self):
        upstreams = super()._make_upstreams()
        return [
            SoakUpstream(
                name=upstream.name,
                service=upstream.service,
                stage=upstream.stage,
                standin=ShapedUpstream(
                    upstream=upstream.name, answer_to=self._draw_answer
                ),
                proxied=True,
            )
            for upstream in upstreams
        ]

    def _draw_answer(self, request):
        if request.is_system_call:
            return None
        if request.is_prefill:
            return None
        rng = self._answer_rng
        if request.is_generation:
            last = int(request.get("Last-Event-Id") or 0)
            body, media_type = events(last + 1, EVENTS), "text/event-stream"
        else:
            last, body, media_type = 0, request.body, "text/plain"
        answer = Answer(
            body=body,
            shape=rng.choice(tuple(Shape)),
            content_type=media_type,
            pause_s=rng.uniform(0.0, LONGEST_PAUSE_S),
            **self._draw_cut(request, body),
        )
        if answer.shape in OPEN_SHAPES and answer.close is not Close.RESET:
            self._closed[request.request_id].add(
                _last_event(answer, last)
                if request.is_generation
                else answer.body[: answer.sent]
            )
        return answer

    def _draw_cut(self, request, body):
        rng = self._answer_rng
        is_probe = request.request_id.startswith("probe-")
        if is_probe or not body or rng.random() > BROKEN_OFF_SHARE:
            return {}
        self._broken_off.add(request.request_id)
        close = rng.choice((Close.FIN, Close.RESET))
        return {"sent": rng.randrange(len(body)), "close": close}

    def _may_be_cut(self, attempt):
        return attempt.request_id in self._broken_off

    def _violations(self, runs):
        return verify_attempts(self.attempts, runs, closed=self._closed)


def _last_event(answer, last):
    """Return the number of the last whole event, or None within an event."""
    body = answer.body[: answer.sent]
    if body and not body.endswith(b"\n\n"):
        return None
    return max(event_numbers(body), default=last)

"""Explains where a request would be sent now, without sending it.

It reads what the entry knows.  It sends nothing, reserves nothing and changes
no counter, so that it may be asked while the entry is overloaded.
"""

import heapq
from random import Random
from typing import Annotated

import msgspec

from currantdeal.entry.active_request import ActiveRequest
from currantdeal.entry.distance import Pool
from currantdeal.entry.speeds import is_too_slow, s_per_token, slowdowns
from currantdeal.node.dialect import CallerRequest
from currantdeal.node.fingerprint import part_fingerprint
from currantdeal.node.http_request import Request
from currantdeal.policy.crashes.identity import IdentityKind, part_identity
from currantdeal.policy.health.upstream_health import order_upstreams
from currantdeal.policy.memory.decode_memory import (
    GenerationSize,
    tokens_to_reserve,
)
from currantdeal.policy.placement.prefill_choice import (
    estimate_prefill,
    prefers_local_prefill,
)
from currantdeal.policy.speed.paces import Work
from currantdeal.registry import Stage

MAX_CANDIDATES = 40
"""Candidates of a pool that are listed, the best first."""

MAX_NAMED = 64
"""Parts of a prompt that a question may name."""

MAX_BODY_BYTES = 1_000_000
"""Largest body of a question."""

_Tokens = Annotated[int, msgspec.Meta(ge=0, le=2**31)]
_Bytes = Annotated[int, msgspec.Meta(ge=0, le=MAX_BODY_BYTES)]
_Parts = Annotated[list[str], msgspec.Meta(max_length=MAX_NAMED)]


class Question(msgspec.Struct, kw_only=True):
    """A request that is not sent.

    ``organisation`` is a name; there is no field for a key.
    """

    host: str
    path: str
    organisation: str = ""
    prompt_tokens: _Tokens = 0
    max_output_tokens: _Tokens = 0
    body_bytes: _Bytes = 0
    parts: _Parts = []


class Candidate(msgspec.Struct, kw_only=True):
    """An upstream of a pool, in the order of the choice.

    ``cost_s`` is the estimated wait with the distance, ``load`` the share of
    memory or slots in use, None where it is not known, ``slowdown`` the time
    that work takes there as a multiple of the pool's.
    """

    upstream: str
    data_center: str
    cost_s: float
    distance_s: float
    load: float | None = None
    queued_tokens: int | None = None
    limit_per_s: float | None = None
    slowdown: float | None = None
    notes: list[str] = []


class PoolAnswer(msgspec.Struct, kw_only=True):
    """Candidates of a pool and the decision; ``omitted`` more are unlisted."""

    service: str
    pool: str
    candidates: list[Candidate]
    omitted: int
    decision: str
    would_change: list[str]


class Explanation(msgspec.Struct, kw_only=True):
    """Where a request would go; ``refusal`` says why it would go nowhere."""

    version: int
    view_age_s: float
    data_center: str
    route: str = ""
    refusal: str = ""
    pools: list[PoolAnswer] = []


def explain(context, question):
    """Return the ``Explanation`` of a ``Question``."""
    view, table = context.view, context.view.route_table
    answer = Explanation(
        version=view.version,
        view_age_s=view.age_s,
        data_center=view.data_center,
    )
    if table is None:
        answer.refusal = "no configuration yet"
        return answer
    route = table.find(question.host, question.path)
    if route is None:
        answer.refusal = "no route matches the host and path"
        return answer
    answer.route = route.name
    answer.refusal = _refusal(context, table, route, question)
    for weighted in route.services:
        service = table.service(weighted.service)
        explainer = _Explainer(context, route, service, question)
        answer.pools = [*answer.pools, *explainer.pools()]
    return answer


def _refusal(context, table, route, question):
    organisations = {o.name: o for o in table.organisations}
    name = question.organisation
    needs_key = table.needs_keys and not route.anonymous
    if needs_key and name not in organisations:
        return f"organisation {name!r} does not exist"
    identities = [
        part_identity(IdentityKind.PART, part_fingerprint(part))
        for part in question.parts
    ]
    if name:
        identities += [
            part_identity(
                IdentityKind.ORGANISATION_PART, part_fingerprint(part, name)
            )
            for part in question.parts
        ]
    verdict = context.crash_watch.registry.find_verdict(identities)
    if verdict is not None:
        return "a part of its prompt is in quarantine"
    return ""


class _Explainer:
    """Explains the pools of one service."""

    def __init__(self, context, route, service, question):
        self._context = context
        self._service = service
        self._question = question
        self._random = Random(0)
        self._departures = context.departures.copy(random=self._random)
        self._now_s = context.now_s
        call = CallerRequest(
            request_id="",
            caller_timeout_s=None,
            prompt_tokens=question.prompt_tokens,
            max_output_tokens=question.max_output_tokens,
        )
        self._active = ActiveRequest(
            request=Request(
                head=None,
                body=bytes(question.body_bytes),
                arrived_s=self._now_s,
            ),
            responder=None,
            call=call,
            route=route,
            service=service,
            version=context.view.version,
            deadline_s=self._now_s + route.timeout_s,
            arrivals=None,
        )

    def pools(self):
        """Return the ``PoolAnswer`` of each pool that is chosen from."""
        if not self._active.is_generation:
            return [self._plain()]
        decode, first = self._decode()
        return [decode, self._prefill(first)]

    def _plain(self):
        records = self._context.view.ready(self._service.name)
        health, now_s = self._context.health, self._now_s
        options = self._departures.plain_options(
            self._active, records, now_s=now_s
        )
        ordered = order_upstreams(
            records,
            health,
            random=self._random,
            now_s=now_s,
            is_unreachable=lambda name: (
                self._context.load.reports.is_unreachable(name, now_s=now_s)
            ),
            **options,
        )
        found = []
        for record in ordered:
            load = health.load(record.upstream, record.slots, now_s=now_s)
            way_s = options["distance"](record)
            found.append(
                self._candidate(
                    record,
                    health,
                    cost_s=way_s + load * options["full_wait_s"],
                    distance_s=way_s,
                    load=load,
                )
            )
        return self._answer(Pool.PLAIN, found)

    def _decode(self):
        context, now_s = self._context, self._now_s
        records = self._records(Stage.DECODE, context.health)
        options = self._departures.memory_options(
            self._active, records, now_s=now_s
        )
        capacity = self._service.engine.kv_tokens
        tokens = tokens_to_reserve(
            GenerationSize(
                prompt_tokens=self._question.prompt_tokens,
                max_output_tokens=self._question.max_output_tokens,
                expected_output_tokens=0,
            ),
            capacity,
        )
        service = self._service.name
        slowdown = slowdowns(context, service, Work.DECODE, records)
        ordered = context.decode_engine_order.order(
            list(records),
            tokens=tokens,
            capacity=capacity,
            random=self._random,
            now_s=now_s,
            slowdown=slowdown,
            is_too_slow=is_too_slow(
                context, service, self._active.route.gap_target_s, slowdown
            ),
            **options,
        )
        found = []
        with_room = set(ordered)
        for name in [*ordered, *(n for n in records if n not in with_room)]:
            held = context.load.tokens(name, now_s=now_s)
            load = held / capacity if capacity else None
            way_s = options["distance"](name)
            found.append(
                self._candidate(
                    records[name],
                    context.health,
                    cost_s=way_s + (load or 0.0) * options["full_wait_s"],
                    distance_s=way_s,
                    load=load,
                    slowdown=slowdown and round(slowdown(name), 2),
                )
            )
            if name not in with_room:
                found[-1].notes.append(f"no room for {tokens} tokens")
        first = records[ordered[0]] if ordered else None
        return self._answer(Pool.DECODE, found, is_free=bool(ordered)), first

    def _prefill(self, decode_engine):
        context, now_s = self._context, self._now_s
        records = self._records(Stage.PREFILL, context.prefill_health)
        options = self._departures.prefill_options(
            self._active, records, decode_engine, now_s=now_s
        )
        service = self._service.name
        token_s = s_per_token(context, service)
        slowdown = slowdowns(context, service, Work.PREFILL, records)
        tokens = self._question.prompt_tokens
        estimates = estimate_prefill(
            records,
            tokens=tokens,
            backlog=lambda name: context.load.tokens(name, now_s=now_s),
            is_suspect=lambda name: context.load.is_suspect(name, now_s=now_s),
            random=self._random,
            s_per_token=token_s,
            slowdown=slowdown,
            **options,
        )
        found = [
            self._candidate(
                records[e.upstream],
                context.prefill_health,
                cost_s=e.expected_s,
                distance_s=options["distance"](e.upstream),
                queued_tokens=context.load.tokens(e.upstream, now_s=now_s),
                slowdown=slowdown and round(slowdown(e.upstream), 2),
            )
            for e in estimates
        ]
        answer = self._answer(Pool.PREFILL, found)
        route = self._active.route
        if prefers_local_prefill(
            min(estimates, key=lambda e: e.expected_s, default=None),
            tokens=tokens,
            s_per_token=token_s,
            time_left_s=route.target_s,
            gap_target_s=route.gap_target_s,
        ):
            answer.decision = "prefilled by the decode engine"
        return answer

    def _records(self, stage, health):
        return {
            record.upstream: record
            for record in self._context.view.engines(self._service.name, stage)
            if not health.is_ejected(record.upstream, now_s=self._now_s)
        }

    def _candidate(self, record, health, *, cost_s, distance_s, **more):
        context, name = self._context, record.upstream
        notes = []
        if health.is_ejected(name, now_s=self._now_s):
            notes.append("ejected")
        if context.load.is_suspect(name, now_s=self._now_s):
            notes.append("several entries cannot reach it")
        limit = context.limits.rate_per_s(name)
        return Candidate(
            upstream=name,
            data_center=record.data_center,
            cost_s=round(cost_s, 4),
            distance_s=round(distance_s, 4),
            limit_per_s=None if limit == float("inf") else limit,
            notes=notes,
            **more,
        )

    def _answer(self, pool, found, *, is_free=True):
        if not found:
            decision, changes = "refused: there is no upstream", []
        elif not is_free:
            decision = "waits: no upstream has room"
            changes = ["memory that streams free"]
        else:
            decision = f"{found[0].upstream} in {found[0].data_center}"
            changes = _would_change(found)
        return PoolAnswer(
            service=self._service.name,
            pool=pool.value,
            candidates=found[:MAX_CANDIDATES],
            omitted=max(0, len(found) - MAX_CANDIDATES),
            decision=decision,
            would_change=changes,
        )


def _would_change(found):
    """Return what would bring others to the first place, the nearest first."""
    first = found[0]
    others = heapq.nsmallest(3, found[1:], key=lambda c: c.cost_s)
    changes = [
        f"{other.upstream} in {other.data_center}, if it were "
        f"{max(0.0, other.cost_s - first.cost_s):.3f} s cheaper"
        for other in others
    ]
    if first.limit_per_s is not None:
        changes.append(f"the limit of {first.upstream}, if it is used up")
    return changes

"""What all requests of an entry share, and the state of one of them."""

import asyncio
from dataclasses import dataclass
from functools import cached_property

from currantdeal.entry.crash_watch import CrashWatch
from currantdeal.entry.probing import Prober
from currantdeal.entry.steps import Step, kind_of_failure
from currantdeal.node.fingerprint import fingerprint_of
from currantdeal.policy.decode_memory import DecodeMemory
from currantdeal.policy.demand import DemandMeter
from currantdeal.policy.late_callers import PatienceBook
from currantdeal.policy.reading_turns import ReadingTurns
from currantdeal.policy.reset_outcome import CallKind
from currantdeal.policy.shared_budget import SharedBudget
from currantdeal.policy.shared_load import EntryLoad
from currantdeal.policy.standing import Standings
from currantdeal.routing import Repeat


class EntryContext:
    """Shared by the requests of one entry.

    Parameters
    ----------
    view : EntryView
        Routes and upstreams.
    pool : ConnectionPool
        Connections to upstreams.
    dialect : currantdeal.node.dialect.UpstreamDialect
        Formats of requests and answers.
    random : random.Random
        Source of ties and spreads.
    budget : BudgetBounds
        Bounds of the retry budget of each service.
    metrics : currantdeal.ports.MetricsPort
        Counters and histograms.
    """

    def __init__(self, *, view, pool, dialect, random, budget, metrics):
        """Keep the parts."""
        self.view = view
        self.pool = pool
        self.dialect = dialect
        self.random = random
        self.metrics = metrics
        self.standings = Standings()
        self.load = EntryLoad()
        self.memory = DecodeMemory(load=self.load)
        self.prefills = Standings()
        self.patience = PatienceBook()
        self.turns = ReadingTurns()
        self.tell_reading = None
        self._bounds = budget
        self._budgets = {}
        self._meters = {}
        self._background = set()
        self._prober = Prober(
            view=view,
            pool=pool,
            dialect=dialect,
            in_background=self.in_background,
        )
        self.crashes = CrashWatch(
            view=view,
            pool=pool,
            metrics=metrics,
            in_background=self.in_background,
        )

    @property
    def now_s(self):
        """Loop time."""
        return asyncio.get_running_loop().time()

    def eject(self, record, standings):
        """Eject an upstream that cannot be reached, until it answers."""
        self._prober.eject(record, standings)

    def begin_reading(self, upstream, for_s):
        """Note, and tell others, that a decode engine reads a prompt."""
        self.turns.begin(upstream, for_s, now_s=self.now_s)
        if self.tell_reading is not None:
            self.tell_reading(upstream, for_s)

    def take_reading(self, upstream, for_s):
        """Note that a decode engine reads a prompt of another entry."""
        self.turns.begin(upstream, for_s, now_s=self.now_s)

    def note_request(self, service):
        """Count a caller's request towards the budget of its service."""
        self._budget(service).note_request(now_s=self.now_s)

    def may_repeat(self, service):
        """Use the retry budget of a service once, if it allows that."""
        return self._budget(service).take(
            now_s=self.now_s, entries=self.view.entries
        )

    def budgets_left(self):
        """Return the repeats that each service's budget allows now."""
        return {
            name: budget.left(now_s=self.now_s, entries=self.view.entries)
            for name, budget in self._budgets.items()
        }

    def meter(self, service):
        """Return what measures the demand of a service."""
        return self._meters.setdefault(service, DemandMeter())

    def take_demand(self):
        """Return the demand of each service since the last call."""
        return {name: m.take() for name, m in self._meters.items()}

    def report_load(self):
        """Return what this entry holds at engines, for the others."""
        now_s = self.now_s
        out = {
            *self.standings.out(now_s=now_s),
            *self.prefills.out(now_s=now_s),
            *self.prefills.unresponsive(now_s=now_s),
        }
        return self.load.report(
            unreachable=out, patience=self.patience.longest_s
        )

    def take_load(self, load):
        """Take what all entries hold at engines."""
        self.load.take(load, now_s=self.now_s)
        self.patience.learn(load.patience)

    def in_background(self, work):
        """Run a coroutine that outlives its request."""
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _budget(self, service):
        found = self._budgets.get(service)
        if found is None:
            found = SharedBudget(
                ratio=self._bounds.ratio,
                allowance=self._bounds.allowance,
                window_s=self._bounds.window_s,
            )
            self._budgets[service] = found
        return found


@dataclass(frozen=True, kw_only=True)
class BudgetBounds:
    """Bounds of the retry budget of a service, over all entries."""

    ratio: float
    allowance: float
    window_s: float


class MemorySearch:
    """Counts of a request's search for memory, for its log line.

    ``asked`` are reservations that were requested, ``refused`` those that an
    engine refused, and ``without_room`` rounds in which no engine was
    believed to have room.
    """

    def __init__(self):
        """Count nothing yet."""
        self.asked = 0
        self.refused = 0
        self.without_room = 0

    def __str__(self):
        """Return the counts as they are logged."""
        return f"{self.asked}/{self.refused}/{self.without_room}"


class ActiveRequest:
    """One request on its way.

    Parameters
    ----------
    request : currantdeal.node.http_request.Request
        The whole request.
    responder : currantdeal.node.http_request.Responder
        Takes the answer.
    call : currantdeal.node.dialect.CallerRequest
        What its head says.
    route, service : Route, Service
        Where it goes.
    version : int
        Version of the configuration that chose them.
    ends_s : float
        Loop time at which its time is over.

    Attributes
    ----------
    runs : int
        Upstreams that may have run it.
    lost : list
        Incarnations of upstreams whose connections ended while they ran it.
    """

    def __init__(
        self, *, request, responder, call, route, service, version, ends_s
    ):
        """Keep the parts."""
        self.request = request
        self.responder = responder
        self.call = call
        self.route = route
        self.service = service
        self.version = version
        self.ends_s = ends_s
        self.has_returned = False
        self.runs = 0
        self.lost = []
        self.search = MemorySearch()
        self.steps = []
        self.first_output_s = None
        self.longest_pause_s = 0.0
        self._last_output_s = None

    @property
    def is_generation(self):
        """Whether it goes to a model engine, which streams its answer."""
        engine = self.service.engine
        return engine is not None and self.call.prompt_tokens > 0

    @cached_property
    def fingerprint(self):
        """By what it counts as the same request when it is sent again."""
        return fingerprint_of(self.request, self.call)

    @property
    def kind(self):
        """The ``CallKind`` of the request."""
        if self.route.repeat is Repeat.RESUMABLE:
            return CallKind.RESUMABLE_STREAM
        if self.is_generation or self.route.streaming:
            return CallKind.STREAM
        if self.route.repeat is Repeat.FREELY:
            return CallKind.IDEMPOTENT
        return CallKind.NON_IDEMPOTENT

    def note_output(self, now_s):
        """Note that a part of the answer goes to the caller."""
        if self._last_output_s is None:
            self.first_output_s = now_s
        else:
            pause_s = now_s - self._last_output_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_output_s = now_s

    def note(self, kind, upstream="", detail=""):
        """Keep a step, with its time, for the request's log line."""
        now_s = asyncio.get_running_loop().time()
        self.steps.append(
            Step(
                after_s=now_s - self.request.arrived_s,
                kind=kind,
                upstream=upstream,
                detail=str(detail),
            )
        )

    def note_failure(self, upstream, exc):
        """Keep the step that a failed exchange is."""
        self.note(kind_of_failure(exc), upstream, exc)

    def time_left_s(self, now_s):
        """Return the seconds in which an answer is of use."""
        return max(0.0, self.ends_s - now_s)

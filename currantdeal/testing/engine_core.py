"""Simulate a model engine, without its HTTP interface.

All methods are thread-safe.
"""

import threading
import time
from collections import deque
from dataclasses import replace

from currantdeal.core import LoadReport, Role
from currantdeal.state import OrderKind
from currantdeal.testing.engine_decode import DecodeBatch
from currantdeal.testing.engine_journal import FaultInjector, Journal
from currantdeal.testing.engine_memory import ReportingCache, SharedMemory
from currantdeal.testing.engine_messages import EventKind
from currantdeal.testing.engine_prefill import PrefillPool
from currantdeal.testing.errors import RefusedError

# Samples kept; the oldest is reported, which makes the report lag.
LOAD_SAMPLES = 5


class EngineCore:
    """State, memory and request processing of one stand-in engine.

    Parameters
    ----------
    profile : EngineProfile
        Configuration of the engine.
    roles : tuple of Role
        Roles that it serves at start.
    """

    def __init__(self, *, profile, roles):
        """Create an idle engine with empty memory; see ``start``."""
        self._profile = profile
        self._roles = roles
        self._models = set(profile.models)
        self._highest_fence = 0
        self._lock = threading.Lock()
        self._load_samples = deque(maxlen=LOAD_SAMPLES)
        self.journal = Journal()
        self.fault_injector = FaultInjector()
        self._memory = SharedMemory(pieces=profile.model.pieces_total)
        self._cache = ReportingCache(
            blocks=profile.model.cache_blocks,
            lag_s=2 * profile.load_lag_s,
            loss=profile.event_loss,
            seed=profile.seed,
        )
        shared = {
            "profile": profile,
            "memory": self._memory,
            "journal": self.journal,
            "fault_injector": self.fault_injector,
        }
        self.prefill_pool = PrefillPool(cache=self._cache, **shared)
        self.decode_batch = DecodeBatch(**shared)

    @property
    def profile(self):
        """Configuration of the engine."""
        return self._profile

    @property
    def roles(self):
        """Roles that the engine currently serves."""
        return self._roles

    @property
    def models(self):
        """Names of the loaded models, sorted."""
        with self._lock:
            return tuple(sorted(self._models))

    def start(self):
        """Start the threads for decode steps and periodic housekeeping."""
        for loop in (self.decode_batch.step_forever, self._housekeeping):
            threading.Thread(target=loop, daemon=True).start()

    def prefill(self, request):
        """Compute a KV cache and keep it until it is fetched or expires."""
        self._check(request, Role.PREFILL)
        if request.model not in self.models:
            raise RefusedError(404, "unknown-model")
        return self.prefill_pool.run(request)

    def reserve(self, request):
        """Reserve the pieces for an import and return the new request."""
        self._check(request, Role.DECODE)
        return self.decode_batch.reserve(request)

    def cancel(self, request_id):
        """Release all memory that is held for a request."""
        had_prefill = self.prefill_pool.cancel(request_id)
        if self.decode_batch.cancel(request_id) or had_prefill:
            self.journal.record(EventKind.CANCEL, request_id=request_id)

    def held(self):
        """Return the memory held for results, imports and outputs."""
        return tuple(self.prefill_pool.held() + self.decode_batch.held())

    def order(self, fence, order):
        """Load a model, unload a model or change the roles."""
        with self._lock:
            self._check_fence(fence)
            if order.kind is OrderKind.LOAD:
                self._models.add(order.model)
            elif order.kind is OrderKind.UNLOAD:
                self._models.discard(order.model)
            else:
                self._roles = order.roles
        detail = f"{order.kind.value} {order.model}".strip()
        self.journal.record(EventKind.ORDER, fence=fence, detail=detail)

    def load_report(self, incarnation):
        """Return the load about ``load_lag_s`` ago, as a real engine lags."""
        oldest = (
            self._load_samples[0] if self._load_samples else self._load_now()
        )
        return replace(oldest, incarnation=incarnation)

    def _check(self, request, role):
        with self._lock:
            self._check_fence(request.fence)
        if self.fault_injector.faults.refuse:
            raise RefusedError(429, "full", "the fault refuse is set")
        if role not in self._roles:
            raise RefusedError(
                400, "bad-request", f"role {role.value} is not served"
            )

    def _check_fence(self, fence):
        if self._profile.checks_fencing and fence < self._highest_fence:
            raise RefusedError(409, "stale-fence", str(self._highest_fence))
        self._highest_fence = max(self._highest_fence, fence)

    def _housekeeping(self):
        while True:
            time.sleep(self._profile.load_lag_s / LOAD_SAMPLES)
            self.prefill_pool.expire()
            self._load_samples.append(self._load_now())

    def _load_now(self):
        return LoadReport(
            upstream_id=self._profile.upstream_id,
            incarnation=0,
            running=self.decode_batch.running,
            queued=self.prefill_pool.queued,
            queued_tokens=self.prefill_pool.queued_tokens,
            pieces_free=self._memory.free,
            step_s=self.decode_batch.step_s,
            prefill_tokens_per_s=self._prefill_rate(),
            cached_prefixes=self._cache.reported(time.monotonic()),
        )

    def _prefill_rate(self):
        factor = self.fault_injector.faults.slow_factor
        return self._profile.model.prefill_tokens_per_s / factor

"""The stand-in engine without its HTTP interface.

All methods are safe to call from any thread.
"""

import threading
import time
from collections import deque
from dataclasses import replace

from currantdeal.core import LoadReport, Role
from currantdeal.state import OrderKind
from currantdeal.testing.engine_decode import DecodeBatch
from currantdeal.testing.engine_journal import FaultSwitch, Journal
from currantdeal.testing.engine_memory import ReportingCache, SharedMemory
from currantdeal.testing.engine_messages import EventKind
from currantdeal.testing.engine_prefill import PrefillPool
from currantdeal.testing.errors import RefusedError

SNAPSHOTS = 5


class EngineCore:
    """State and work of one stand-in engine.

    Parameters
    ----------
    profile : EngineProfile
        What it is built like.
    roles : tuple of Role
        Roles at start.
    """

    def __init__(self, *, profile, roles):
        """Start with empty memory; ``start`` begins to work."""
        self._profile = profile
        self._roles = roles
        self._models = set(profile.models)
        self._highest_fence = 0
        self._lock = threading.Lock()
        self._loads = deque(maxlen=SNAPSHOTS)
        self.journal = Journal()
        self.switch = FaultSwitch()
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
            "switch": self.switch,
        }
        self.prefills = PrefillPool(cache=self._cache, **shared)
        self.decodes = DecodeBatch(**shared)

    @property
    def profile(self):
        """What the engine is built like."""
        return self._profile

    @property
    def roles(self):
        """Roles that it serves at present."""
        return self._roles

    @property
    def models(self):
        """Models that it has loaded, sorted."""
        with self._lock:
            return tuple(sorted(self._models))

    def start(self):
        """Begin to step the batch and to expire results."""
        for work in (self.decodes.loop, self._housekeeping):
            threading.Thread(target=work, daemon=True).start()

    def prefill(self, request):
        """Compute a KV cache and keep it for a short time."""
        self._check(request, Role.PREFILL)
        if request.model not in self.models:
            raise RefusedError(404, "unknown-model")
        return self.prefills.run(request)

    def reserve(self, request):
        """Take the pieces for an import and return the waiting request."""
        self._check(request, Role.DECODE)
        return self.decodes.reserve(request)

    def cancel(self, request_id):
        """Free everything that is held for a request."""
        known = self.prefills.cancel(request_id)
        if self.decodes.cancel(request_id) or known:
            self.journal.note(EventKind.CANCEL, request_id=request_id)

    def held(self):
        """Return what is held, for results, imports and outputs."""
        return tuple(self.prefills.held() + self.decodes.held())

    def order(self, fence, order):
        """Load, unload or change roles."""
        with self._lock:
            self._check_fence(fence)
            if order.kind is OrderKind.LOAD:
                self._models.add(order.model)
            elif order.kind is OrderKind.UNLOAD:
                self._models.discard(order.model)
            else:
                self._roles = order.roles
        detail = f"{order.kind.value} {order.model}".strip()
        self.journal.note(EventKind.ORDER, fence=fence, detail=detail)

    def load_report(self, incarnation):
        """Return the load as it was a while ago."""
        lagged = self._loads[0] if self._loads else self._load_now()
        return replace(lagged, incarnation=incarnation)

    def _check(self, request, role):
        with self._lock:
            self._check_fence(request.fence)
        if self.switch.faults.refuse:
            raise RefusedError(429, "full", "told to refuse")
        if role not in self._roles:
            raise RefusedError(400, "bad-request", f"no {role.value} here")

    def _check_fence(self, fence):
        if self._profile.checks_fencing and fence < self._highest_fence:
            raise RefusedError(409, "stale-fence", str(self._highest_fence))
        self._highest_fence = max(self._highest_fence, fence)

    def _housekeeping(self):
        while True:
            time.sleep(self._profile.load_lag_s / SNAPSHOTS)
            self.prefills.expire()
            self._loads.append(self._load_now())

    def _load_now(self):
        return LoadReport(
            upstream_id=self._profile.upstream_id,
            incarnation=0,
            running=self.decodes.running,
            queued=self.prefills.queued,
            queued_tokens=self.prefills.queued_tokens,
            pieces_free=self._memory.free,
            step_s=self.decodes.step_s,
            prefill_tokens_per_s=self._prefill_rate(),
            cached_prefixes=self._cache.reported(time.monotonic()),
        )

    def _prefill_rate(self):
        factor = self.switch.faults.slow_factor
        return self._profile.model.prefill_tokens_per_s / factor

"""Speeds of engines by the work of all entries, for orders and operators."""

import structlog

from currantdeal.policy.placement.prefill_choice import DEFAULT_S_PER_TOKEN
from currantdeal.policy.speed.paces import (
    SpeedEstimate,
    Work,
    pool_key,
    pool_speeds,
    process_key,
)
from currantdeal.registry import Stage

_WORK_OF_STAGE = {Stage.PREFILL: Work.PREFILL, Stage.DECODE: Work.DECODE}

_log = structlog.get_logger(__name__)


class EngineSpeeds:
    """Estimated speed of each engine at the work of its stage.

    Parameters
    ----------
    paces : callable
        Returns the paces summed over all entries.
    logs : callable
        Whether this instance logs the changes; one of them is to.
    """

    def __init__(self, *, paces, logs=lambda: False):
        """Start without any history."""
        self._paces = paces
        self._logs = logs
        self._unusual = {}
        self._shown = set()

    def slowdowns(self, records):
        """Return the slowdown of each engine beyond its error, by name."""
        pools = self._speeds()
        return {
            record.upstream: _estimate(pools, record).factor
            for record in records
            if record.stage is not None
        }

    def s_per_token(self, service):
        """Return the pool's time to prefill a token; None in an even pool."""
        pool = self._speeds().get(pool_key(Work.PREFILL, service))
        if pool is None or not pool.is_uneven:
            return None
        return pool.pace * DEFAULT_S_PER_TOKEN

    def observe(self):
        """Log engines whose speed differs from the pool's since lately."""
        unusual = {
            (pool, name): SpeedEstimate(
                slowdown=slowdown, error=error, age_s=0.0
            )
            for pool, speeds in self._speeds().items()
            for name, (slowdown, error) in speeds.slowdowns.items()
        }
        unusual = {k: e for k, e in unusual.items() if e.factor != 1.0}
        if self._logs():
            for key in unusual.keys() - self._unusual.keys():
                _log_change("upstream-speed-unusual", key, unusual[key])
            for key in self._unusual.keys() - unusual.keys():
                _log_change("upstream-speed-usual", key, self._unusual[key])
        self._unusual = unusual

    def set_gauges(self, metrics):
        """Set the gauges of each engine; those without work are usual."""
        shown = set()
        paces = self._paces()
        for pool, upstreams in paces.items():
            work, _, service = pool.partition("/")
            total = sum(pace[0] for pace in upstreams.values())
            found = pool_speeds(upstreams).slowdowns
            for key, (slowdown, error) in found.items():
                labels = (_name(key), work, service)
                share = upstreams[key][0] / total
                _set(metrics, labels, slowdown, error, share)
                shown.add(labels)
        for labels in self._shown - shown:
            _set(metrics, labels, 1.0, 0.0, 0.0)
        self._shown = shown

    def _speeds(self):
        return {
            pool: pool_speeds(upstreams)
            for pool, upstreams in self._paces().items()
        }


def _estimate(pools, record):
    pool = pools.get(pool_key(_WORK_OF_STAGE[record.stage], record.service))
    found = pool and pool.slowdowns.get(process_key(record))
    if not found:
        return SpeedEstimate()
    return SpeedEstimate(slowdown=found[0], error=found[1], age_s=0.0)


def _name(key):
    return key.rpartition(":")[0]


def _log_change(event, key, estimate):
    work, _, service = key[0].partition("/")
    _log.info(
        event,
        upstream=_name(key[1]),
        service=service,
        work=work,
        slowdown=round(estimate.slowdown, 2),
        error=round(estimate.error, 2),
    )


def _set(metrics, labels, slowdown, error, share):
    upstream, work, service = labels
    labelled = {"upstream": upstream, "work": work, "service": service}
    metrics.set("upstream_slowdown", slowdown, **labelled)
    metrics.set("upstream_slowdown_error", error, **labelled)
    metrics.set("upstream_work_share", share, **labelled)

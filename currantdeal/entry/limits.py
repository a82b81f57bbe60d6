"""Limits that upstreams name in their answers, as one entry knows them."""

import math

import structlog

MAX_LABELLED_UPSTREAMS = 64
"""Number of upstreams with metrics of their own."""

_log = structlog.get_logger(__name__)


class UpstreamLimits:
    """Limits named by upstreams, and the requests sent to those that did.

    Parameters
    ----------
    metrics : currantdeal.ports.MetricsPort
        Counters of requests.
    """

    def __init__(self, *, metrics):
        """Start without limits."""
        self._metrics = metrics
        self._rates = {}
        self._labelled = set()

    def observe(self, upstream, metadata):
        """Record the limit in an answer of an upstream."""
        rate_per_s = metadata.limit_per_s
        before = self._rates.get(upstream, math.inf)
        if rate_per_s is None or rate_per_s == before:
            return
        if rate_per_s < math.inf:
            self._rates[upstream] = rate_per_s
            _log.info(
                "upstream-limit-named",
                upstream=upstream,
                rate_per_s=rate_per_s,
                before=None if before == math.inf else before,
            )
        elif metadata.is_signed:
            # Only an answer that the upstream signs is surely its own.
            del self._rates[upstream]
            _log.info(
                "upstream-limit-lifted", upstream=upstream, before=before
            )

    def record_request(self, upstream):
        """Count a request that is sent to an upstream with a limit."""
        if upstream in self._rates:
            self._metrics.add(
                "limited_requests_total", upstream=self._label(upstream)
            )

    def _label(self, upstream):
        if len(self._labelled) < MAX_LABELLED_UPSTREAMS:
            self._labelled.add(upstream)
        return upstream if upstream in self._labelled else "other"

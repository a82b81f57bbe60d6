"""Collects and renders the metrics of one instance with aioprometheus.

Examples
--------
>>> metrics = Metrics()
>>> metrics.add("requests_total", kind="chat")
>>> b'currantdeal_requests_total{kind="chat"} 1' in metrics.render()[1]
True
"""

import threading

from aioprometheus import Counter, Gauge, Histogram, Registry, render

PREFIX = "currantdeal_"
SECONDS_BUCKETS = (
    0.005, 0.01, 0.02, 0.037, 0.05, 0.1, 0.2, 0.5, 0.93, 2.0, 5.0, 10.0,
)  # fmt: skip
"""Bucket bounds of histograms in seconds; include both latency targets."""


class Metrics:
    """Implements ``ports.MetricsPort``.

    Collectors are created on first use.  Scrapes are served by the same
    threads as requests, so rendering needs no event loop.
    """

    def __init__(self):
        """Start with an empty registry."""
        self._registry = Registry()
        self._collectors = {}
        self._lock = threading.Lock()

    def add(self, name, amount=1.0, **labels):
        """Add to a counter."""
        with self._lock:
            self._collector(Counter, name).add(labels, amount)

    def set(self, name, value, **labels):
        """Set a gauge."""
        with self._lock:
            self._collector(Gauge, name).set(labels, value)

    def observe(self, name, value, **labels):
        """Add a value to a histogram."""
        with self._lock:
            self._collector(Histogram, name).observe(labels, value)

    def render(self):
        """Return the content type and the text of all metrics."""
        with self._lock:
            content, headers = render(self._registry, [])
        return headers["Content-Type"], content

    def _collector(self, kind, name):
        found = self._collectors.get(name)
        if found is None:
            options = {}
            if kind is Histogram:
                options["buckets"] = list(SECONDS_BUCKETS)
            found = kind(
                PREFIX + name,
                name.replace("_", " "),
                registry=self._registry,
                **options,
            )
            self._collectors[name] = found
        return found

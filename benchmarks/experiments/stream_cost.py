"""Measures processor time, memory and delay of many slow streams.

All streams go through one instance.
"""

from dataclasses import dataclass

from benchmarks.stream_cost import StreamCost, measure

SUMMARY = "16 to 256 streams of one output in 37 ms through one instance"
STREAMS = (16, 64, 128, 256)
SECONDS = 8.0
GAP_MS = 37.0


@dataclass(frozen=True, kw_only=True)
class StreamCosts:
    """Costs at several numbers of streams."""

    costs: tuple[StreamCost, ...]

    def render(self):
        """Return one line per number of streams."""
        lines = ["streams  us/chunk  chunks/core/s  gap p95 ms  MB"]
        for cost in self.costs:
            lines.append(
                f"{cost.streams:7} {cost.us_per_chunk:9}"
                f" {cost.chunks_per_core_s:14} {cost.gap_p95_ms:11}"
                f" {cost.rss_mb:5}"
            )
        return "\n".join(lines)


def run(*, seed):
    """Return ``StreamCosts``; the seed has no effect."""
    costs = tuple(
        measure(
            streams=count,
            seconds=SECONDS,
            gap_ms=GAP_MS,
            threads=count + count // 4 + 16,
        )
        for count in STREAMS
    )
    return StreamCosts(costs=costs)

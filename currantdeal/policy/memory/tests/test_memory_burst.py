"""Simulation of a burst on the KV cache memory of one engine."""

from random import Random

from currantdeal.policy.memory.decode_memory import (
    GenerationSize,
    tokens_to_reserve,
)

CAPACITY = 30_000
STEP_S = 0.05
TOKENS_PER_S = 220.0
BURST_S = 120.0
CALLERS_PER_S = 4.0
"""Twice the rate that one engine can serve."""


class _Stream:
    def __init__(self, *, size, output, started_s):
        self._prompt = size.prompt_tokens
        self._output = output
        self._started_s = started_s
        self.reserved = tokens_to_reserve(size, CAPACITY)

    def used(self, now_s):
        generated = TOKENS_PER_S * (now_s - self._started_s)
        return self._prompt + min(generated, self._output)

    def charged(self, now_s):
        return max(self.reserved, self.used(now_s))

    def has_ended(self, now_s):
        return now_s >= self._started_s + self._output / TOKENS_PER_S


def _draw(random):
    """Return a size and the actual output, which the size only estimates."""
    output = min(2_000, round(650 * random.lognormvariate(0.0, 0.6)))
    size = GenerationSize(
        prompt_tokens=min(6_600, round(2_700 * random.lognormvariate(0, 0.5))),
        max_output_tokens=2_000,
        expected_output_tokens=round(output * random.lognormvariate(0.0, 0.5)),
    )
    return size, output


def _simulate(reserve_all, *, seed):
    """Return the number of ended streams and the share of overcommitted time.

    Parameters
    ----------
    reserve_all : bool
        Whether the whole expected output is reserved, and a margin.
    """
    random = Random(seed)
    running, ended, steps_over = [], 0, 0
    for step in range(round(BURST_S / STEP_S)):
        now_s = step * STEP_S
        ended += sum(s.has_ended(now_s) for s in running)
        running = [s for s in running if not s.has_ended(now_s)]
        steps_over += sum(s.used(now_s) for s in running) > CAPACITY
        if random.random() > CALLERS_PER_S * STEP_S:
            continue
        size, output = _draw(random)
        stream = _Stream(size=size, output=output, started_s=now_s)
        if reserve_all:
            stream.reserved = (
                size.prompt_tokens + 1.2 * size.expected_output_tokens
            )
        charged = sum(s.charged(now_s) for s in running)
        if charged + stream.reserved <= CAPACITY:
            running.append(stream)
    return ended, steps_over * STEP_S / BURST_S


def test_partial_reservation_serves_more_streams_of_a_burst():
    """Guards against idle memory reserved for output not generated yet.

    Partial reservations must not exceed the engine's memory for long either.
    """
    seeds = range(8)
    full_ended = sum(_simulate(True, seed=seed)[0] for seed in seeds)
    partial = [_simulate(False, seed=seed) for seed in seeds]
    assert sum(ended for ended, _ in partial) > 1.05 * full_ended
    assert max(overcommitted for _, overcommitted in partial) < 0.05

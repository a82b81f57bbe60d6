"""Computes an upper bound on the streams that a pool of engines can serve.

The bound holds for every placement.  It comes from a fluid model with perfect
information: memory is packed without gaps, prompts never queue behind each
other, messages take no time, and the split between prefill and decode engines
is optimal for the load.  The difference between the router's throughput and
this bound is lost to placement, queueing and failures outside the model.

Examples
--------
>>> engine = EngineTraits(kv_tokens=28_000, step_ms=2.2,
...                       context_ms_per_k=0.0175, prefill_tokens_per_ms=33.3)
>>> work = StreamTraits(prompt_tokens=3_200, output_tokens=1_278)
>>> round(decode_rate(engine, work), 2), round(prefill_rate(engine, work), 1)
(2.12, 10.4)
>>> best_split(30, engine, work)
(5, 52.0)
>>> load = Load(per_s=32.3, length_s=34.0, burst=1.7, burst_s=13.0)
>>> round(served_bound(load, 52.0), 2), round(served_bound(load, 43.0), 2)
(0.97, 0.89)
"""

from dataclasses import dataclass

import click

MS_PER_S = 1_000.0


@dataclass(frozen=True, kw_only=True)
class EngineTraits:
    """Speed and memory of one engine, as specified by its operator.

    Parameters
    ----------
    kv_tokens : int
        Tokens that fit into its memory.
    step_ms : float
        Time of a step, which generates one token for every running stream.
    context_ms_per_k : float
        Time that each thousand tokens in memory add to a step.
    prefill_tokens_per_ms : float
        Prefill speed.
    """

    kv_tokens: int
    step_ms: float
    context_ms_per_k: float
    prefill_tokens_per_ms: float


@dataclass(frozen=True, kw_only=True)
class StreamTraits:
    """Mean tokens of a stream."""

    prompt_tokens: int
    output_tokens: int


@dataclass(frozen=True, kw_only=True)
class Load:
    """Offered load: a steady rate and a burst, as a factor of that rate."""

    per_s: float
    length_s: float
    burst: float
    burst_s: float


def decode_rate(engine, work):
    """Return the streams a second that a full decode engine completes."""
    held_tokens = work.prompt_tokens + work.output_tokens / 2
    step_ms = engine.step_ms
    step_ms += engine.context_ms_per_k * engine.kv_tokens / 1_000
    duration_s = work.output_tokens * step_ms / MS_PER_S
    return engine.kv_tokens / held_tokens / duration_s


def prefill_rate(engine, work):
    """Return the prompts a second that a busy prefill engine processes."""
    return engine.prefill_tokens_per_ms * MS_PER_S / work.prompt_tokens


def best_split(engines, engine, work):
    """Return the best number of prefill engines and its streams a second."""
    rates = {
        number: min(
            number * prefill_rate(engine, work),
            (engines - number) * decode_rate(engine, work),
        )
        for number in range(1, engines)
    }
    best = max(rates, key=rates.get)
    return best, round(rates[best], 1)


def served_bound(load, per_s):
    """Return the largest share of the streams that a pool can serve in time.

    Streams of a burst that exceed the pool's rate are lost, since they can't
    wait until the burst is over.
    """
    steady_s = load.length_s - load.burst_s
    offered = load.per_s * (steady_s + load.burst * load.burst_s)
    served = min(load.per_s, per_s) * steady_s
    served += min(load.per_s * load.burst, per_s) * load.burst_s
    return served / offered


@click.command()
@click.option("--engines", type=int, required=True)
@click.option("--kv-tokens", type=int, required=True)
@click.option("--step-ms", type=float, required=True)
@click.option("--output-tokens", type=int, required=True)
@click.option(
    "--per-s", type=float, required=True, help="streams outside the burst"
)
@click.option("--burst", default=1.8, show_default=True)
@click.option("--burst-s", default=13.0, show_default=True)
@click.option("--length-s", default=34.0, show_default=True)
@click.option("--lost", default=0, show_default=True, help="engines lost")
def main(
    engines,
    kv_tokens,
    step_ms,
    output_tokens,
    per_s,
    burst,
    burst_s,
    length_s,
    lost,
):
    """Print the upper bound for a pool and a load."""
    engine = EngineTraits(
        kv_tokens=kv_tokens,
        step_ms=step_ms,
        context_ms_per_k=0.0175,
        prefill_tokens_per_ms=33.3,
    )
    work = StreamTraits(prompt_tokens=3_200, output_tokens=output_tokens)
    number, rate = best_split(engines - lost, engine, work)
    load = Load(per_s=per_s, length_s=length_s, burst=burst, burst_s=burst_s)
    click.echo(f"prefill engines {number}, streams a second {rate}")
    click.echo(f"served in time at most {served_bound(load, rate):.2f}")


if __name__ == "__main__":
    main()

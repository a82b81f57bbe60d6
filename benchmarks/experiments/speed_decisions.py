"""Measures the time to order engines, without and with estimates of speed."""

import time
from dataclasses import dataclass
from random import Random

import msgspec

from currantdeal.policy.load.shared_load import EntryLoad, PoolLoad
from currantdeal.policy.memory.decode_memory import DecodeEngineOrder
from currantdeal.policy.placement.prefill_choice import estimate_prefill
from currantdeal.policy.speed.paces import Work, unusual_paces
from currantdeal.policy.speed.upstream_speeds import UpstreamSpeeds

SUMMARY = "time to order engines, without and with estimates of speed"

SIZES = (30, 300, 3_000)
PREFILL_SHARE = 4  # one engine in so many prefills
TOKENS = 3_000
BUDGET_S = 0.5


@dataclass(frozen=True, kw_only=True)
class Cost:
    """Times of one size of pool, in microseconds, and bytes of its paces."""

    engines: int
    prefill_us: float
    prefill_with_speeds_us: float
    decode_us: float
    decode_with_speeds_us: float
    update_us: float
    notice_bytes: int


@dataclass(frozen=True, kw_only=True)
class Report:
    """Costs of all sizes."""

    costs: tuple[Cost, ...]

    def render(self):
        """Return a table."""
        names = tuple(Cost.__dataclass_fields__)
        rows = [names] + [
            tuple(f"{getattr(cost, name):.0f}" for name in names)
            for cost in self.costs
        ]
        return "\n".join("  ".join(f"{c:>22}" for c in r) for r in rows)


def run(*, seed):
    """Measure all sizes of pool; half of the engines are unusual."""
    return Report(costs=tuple(_measure(size, Random(seed)) for size in SIZES))


def _measure(size, random):
    names = [f"i-{number:010x}:{number:x}" for number in range(size)]
    prefill, decode = names[: size // PREFILL_SHARE], names
    load, speeds = EntryLoad(), UpstreamSpeeds()
    held = {name: random.randint(0, 20_000) for name in names}
    load.update_sums(PoolLoad(held=held, unreachable={}), now_s=0.0)
    paces = unusual_paces(
        {
            f"{work}/": {
                name: (1_000, random.choice((700, 1_700)), 30)
                for name in of_work
            }
            for work, of_work in (("prefill", prefill), ("decode", decode))
        }
    )
    speeds.update(paces, now_s=0.0)
    engine_order = DecodeEngineOrder(load=load)

    def slowdown(work):
        factors = speeds.factors(work, now_s=0.1)
        return lambda name: factors.get(name, 1.0)

    def order_prefill(slowdown=None):
        estimate_prefill(
            prefill,
            tokens=TOKENS,
            backlog=lambda name: load.tokens(name, now_s=0.1),
            distance=lambda name: 0,
            is_suspect=lambda name: False,
            random=random,
            s_per_token=3e-5,
            unreported=1.0,
            slowdown=slowdown,
        )

    def order_decode(slowdown=None):
        engine_order.order(
            decode,
            tokens=TOKENS,
            capacity=30_000,
            distance=lambda name: 0,
            random=random,
            now_s=0.1,
            slowdown=slowdown,
        )

    return Cost(
        engines=size,
        prefill_us=_time_us(order_prefill),
        prefill_with_speeds_us=_time_us(
            lambda: order_prefill(slowdown(Work.PREFILL))
        ),
        decode_us=_time_us(order_decode),
        decode_with_speeds_us=_time_us(
            lambda: order_decode(slowdown(Work.DECODE))
        ),
        update_us=_time_us(lambda: speeds.update(paces, now_s=0.0)),
        notice_bytes=len(msgspec.msgpack.encode(paces)),
    )


def _time_us(action):
    count, start_s = 0, time.process_time()
    while time.process_time() - start_s < BUDGET_S:
        action()
        count += 1
    return (time.process_time() - start_s) / count * 1e6

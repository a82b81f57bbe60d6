import asyncio
import contextlib

import pytest

from currantdeal.adapters.metrics import Metrics
from currantdeal.cli.process import call_periodically


async def _raise_in_time():
    raise UnicodeEncodeError("latin-1", "\ufffd", 0, 1, "no such byte")


def _raise_at_once():
    raise ZeroDivisionError


@pytest.mark.parametrize("action", [_raise_at_once, _raise_in_time])
def test_a_call_that_raises_does_not_end_its_process(action):
    """Guards against one bad record that ends a control process."""
    metrics = Metrics()
    calls = []

    def count():
        calls.append(1)
        return action()

    async def run():
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.2):
                await call_periodically(0.01, count, metrics=metrics)

    asyncio.run(run())
    assert len(calls) > 1
    assert b"currantdeal_task_failures_total" in metrics.render()[1]

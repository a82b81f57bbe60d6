import asyncio
from contextlib import asynccontextmanager

from currantdeal.entry.subscription import Subscription
from currantdeal.entry.view import EntryView
from currantdeal.node.messages import CrashesNotice
from currantdeal.platform.config import decode_config
from currantdeal.policy.crash_book import Crash, SuspectRecord
from currantdeal.policy.shared_load import EntryLoad
from currantdeal.registry.tests.builders import an_entry
from currantdeal.testing.control_standin import StandInControl
from currantdeal.testing.waiting import eventually


class _Crashes:
    """Requests that crash upstreams, as an entry knows them."""

    def __init__(self, *records):
        self.records = records
        self.taken = []

    def take(self, records):
        self.taken.extend(records)


@asynccontextmanager
async def _followed(*controls, seeds, crashes=None):
    loop = asyncio.get_running_loop()
    for control in controls:
        await control.start()
    for control in controls:
        control.others = [c for c in controls if c is not control]
    view = EntryView(
        read_config=decode_config,
        data_center="dc1",
        region="r1",
        region_of={"dc1": "r1", "dc2": "r1", "dc3": "r2"},
        heartbeat_s=1.0,
        clock=loop.time,
    )
    load = EntryLoad()
    subscription = Subscription(
        view=view,
        own_record=an_entry,
        seeds=lambda: [c.address for c in seeds],
        take_demand=dict,
        report_load=lambda: load.report(unreachable=()),
        take_load=lambda sums: load.take(sums, now_s=loop.time()),
        take_reading=lambda upstream, for_s: None,
        crashes=crashes or _Crashes(),
        clock=loop.time,
    )
    task = asyncio.ensure_future(subscription.run())
    try:
        yield subscription
    finally:
        task.cancel()
        for control in controls:
            control.stop()


def test_an_entry_moves_to_the_nearest_control_instance():
    """All entries are given the same first addresses.

    If they stayed there, one instance would carry all of them, and its loss
    would leave every entry without news at once.
    """

    async def run():
        far = StandInControl(data_center="dc3")
        here = StandInControl(data_center="dc1")
        async with _followed(far, here, seeds=[far]):
            await eventually(
                lambda: here.subscribers and not far.subscribers,
                what="move to the nearest",
                limit_s=8.0,
            )

    asyncio.run(run())


def test_an_entry_stays_while_the_nearer_instance_does_not_take_it():
    """The nearest instance has just restarted and refuses subscribers.

    An entry that left its present source for it would miss news meanwhile.
    """

    async def run():
        far = StandInControl(data_center="dc3")
        here = StandInControl(data_center="dc1")
        here.accepts = False
        async with _followed(far, here, seeds=[far]):
            await eventually(lambda: far.subscribers, what="subscription")
            await asyncio.sleep(1.2)
            assert len(far.subscribers) == 1
            assert not here.subscribers

    asyncio.run(run())


def test_an_entry_whose_source_ends_follows_another():
    async def run():
        far = StandInControl(data_center="dc3")
        here = StandInControl(data_center="dc1")
        async with _followed(far, here, seeds=[far]):
            await eventually(
                lambda: here.subscribers,
                what="move to the nearest",
                limit_s=8.0,
            )
            here.stop()
            await eventually(lambda: far.subscribers, what="subscription")

    asyncio.run(run())


def test_source_is_told_which_requests_crash_upstreams():
    """Guards against control that starts anew and forgets a culprit."""
    crash = Crash(upstream="u1", started_ms=1)
    known = SuspectRecord(fingerprint=b"poison", crashes=(crash,))
    news = SuspectRecord(fingerprint=b"other", crashes=(crash,))

    async def run():
        crashes = _Crashes(known)
        control = StandInControl(data_center="dc1")
        async with _followed(control, seeds=[control], crashes=crashes):
            await eventually(
                lambda: CrashesNotice(records=(known,)) in control.notices,
                what="the entry's records",
            )
            control.publish(CrashesNotice(records=(news,)))
            await eventually(lambda: crashes.taken, what="news")
            assert crashes.taken == [news]

    asyncio.run(run())


def test_without_a_leader_an_entry_still_hears_of_the_load():
    """The control instances are cut apart and none reaches a majority.

    An entry that followed none of them would place streams without knowing
    what the others hold, on top of the trouble that there is.
    """

    async def run():
        one = StandInControl(data_center="dc1")
        other = StandInControl(data_center="dc3")
        one.accepts = other.accepts = False
        async with _followed(one, other, seeds=[one, other]):
            await eventually(
                lambda: one.subscribers, what="subscription", limit_s=8.0
            )
            other.accepts = True
            await eventually(
                lambda: other.subscribers and not one.subscribers,
                what="move to the one in touch",
                limit_s=8.0,
            )

    asyncio.run(run())

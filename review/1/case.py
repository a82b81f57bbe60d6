"""Late extra refusals of upstreams, and orders that must run at most once.

Upstreams refuse an order when their places are taken.  Three in a hundred of
their answers are followed by an extra one, which arrives late: at the point
where the next answer on that channel is expected.  It bears the id of the
request that it repeats.
"""

import asyncio
import os
import random
import sys
import time
from collections import defaultdict
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from deployment import Deployment, SetupError  # noqa: E402
from standins import (  # noqa: E402
    HOST,
    NOT_EXECUTED,
    Client,
    Record,
    Upstream,
    keep_announcing,
)

SERVICE = "client-desk"
PATH = "/booking/"
SLOTS = 2
QUEUE = 2
WORK_S = 0.09
EXTRA_SHARE = 0.03
TIME_LIMIT_S = 3.0
TRAFFIC_S = 60.0
CLIENTS = 13
PAUSE_S = 0.12
PROMISES = (408, 421, 429, 503)

CONFIG = {
    "Version": 1,
    "Routes": [
        {
            "Name": "survey-booking",
            "Hostname": HOST,
            "PathPrefix": PATH,
            "RouteType": "non_idempotent",
            "TimeoutMs": 3_000,
            "TargetLatencyMs": 400,
            "Priority": 2,
            "Service": SERVICE,
            "MaxAttempts": 1,
        }
    ],
    "Services": [
        {
            "Name": SERVICE,
            "HealthPath": "/healthz",
            "MaxConnections": 110,
            "Protocol": "h1",
            "Tls": False,
        }
    ],
    "Limits": {
        "MaxHeaderBytes": 16_384,
        "MaxBodyBytes": 4_194_304,
        "HeaderTimeoutMs": 3_000,
        "IdleTimeoutMs": 15_000,
    },
}


class Desk(Upstream):
    """An upstream of bookings with a few places and a short queue.

    Parameters
    ----------
    trouble : bool
        Whether extra answers follow some of its answers.
    runs : dict
        Names of the upstreams that ran each request, by its id.
    """

    def __init__(self, *, trouble, runs, random, **more):
        """Start idle."""
        super().__init__(service=SERVICE, **more)
        self._trouble = trouble
        self._runs = runs
        self._random = random
        self._places = asyncio.Semaphore(SLOTS)
        self._present = 0
        self._extra = {}

    async def answer(self, request, writer):
        """Run a booking, or refuse it if all places are taken."""
        extra = self._extra.pop(writer, None)
        if extra is not None:
            repeated_id, raw = extra
            self.record.add(
                "extra-answer",
                upstream=self.name,
                repeats=repeated_id,
                before=request.request_id or request.target,
            )
            writer.write(raw)
        raw = await self._run_or_refuse(request)
        writer.write(raw)
        if self._trouble and self._random.random() < EXTRA_SHARE:
            self._extra[writer] = (request.request_id, raw)

    async def _run_or_refuse(self, request):
        if self._present >= SLOTS + QUEUE:
            self.record.add(
                "refused", upstream=self.name, request=request.request_id
            )
            return self.response(request, 503, b"", NOT_EXECUTED)
        self._present += 1
        try:
            async with self._places:
                return await self._run(request)
        finally:
            self._present -= 1

    async def _run(self, request):
        if request.target == "/healthz":
            mine = f"X-Currantdeal-Instance-Id: {self.name}"
            return self.response(request, 200, b"", mine)
        self.record.add("runs", upstream=self.name, request=request.request_id)
        self._runs[request.request_id].append(self.name)
        await asyncio.sleep(WORK_S)
        signature = f"X-Currantdeal-Response-Signature: {self.name}"
        return self.response(request, 200, b"booked", signature)


async def send_bookings(client, number, until_s, record, answers, source):
    """Send one booking after the other on a kept channel."""
    count = 0
    while time.monotonic() < until_s:
        count += 1
        request_id = f"c{number:02d}-{count:04d}"
        record.add("sent", request=request_id, entry=client.address)
        answer = await client.send(
            request_id, "POST", f"{PATH}7", (), b"one survey", TIME_LIMIT_S
        )
        answers[request_id] = answer.status
        record.add("answered", request=request_id, status=answer.status)
        await asyncio.sleep(source.uniform(0.0, 2 * PAUSE_S))


async def play(deployment, record, *, trouble):
    """Play the traffic; return the runs and the answers by request id."""
    source = random.Random(43)
    runs = defaultdict(list)
    answers = {}
    desks = [
        Desk(
            name=f"desk-{zone}",
            data_center=zone,
            record=record,
            trouble=trouble,
            runs=runs,
            random=source,
        )
        for zone in ("zone-a", "zone-b", "zone-c")
    ]
    for desk in desks:
        await desk.start()
    control = deployment.control_addresses
    beats = asyncio.create_task(keep_announcing(desks, control, 1.2))
    await asyncio.sleep(3.0)
    until_s = time.monotonic() + TRAFFIC_S
    addresses = deployment.entry_addresses
    await asyncio.gather(
        *(
            send_bookings(
                Client(address=addresses[number % len(addresses)]),
                number,
                until_s,
                record,
                answers,
                source,
            )
            for number in range(CLIENTS)
        )
    )
    beats.cancel()
    for desk in desks:
        await desk.stop()
    return runs, answers


def judge(runs, answers, record):
    """Return whether each booking ran once at most, and none after a no."""
    twice = {i: where for i, where in runs.items() if len(where) > 1}
    refused = [i for i in runs if answers.get(i) in PROMISES]
    for request_id, where in twice.items():
        record.add("TWICE", request=request_id, upstreams=",".join(where))
    for request_id in refused:
        record.add("REFUSED", request=request_id, status=answers[request_id])
    record.add(
        "result",
        sent=len(answers),
        run=len(runs),
        twice=len(twice),
        refused_and_run=len(refused),
    )
    return not twice and not refused


def main():
    """Run the case; return its exit status."""
    trouble = os.environ.get("TROUBLE") != "0"
    record = Record(path=Path(__file__).with_name("record.txt"))
    try:
        with Deployment(entries=2) as deployment:
            deployment.put_config(CONFIG)
            deployment.wait_ready()
            runs, answers = asyncio.run(
                play(deployment, record, trouble=trouble)
            )
    except SetupError as exc:
        record.add("not-run", why=exc)
        return 2
    if not any(status == 200 for status in answers.values()):
        record.add("not-run", why="no booking was answered")
        return 2
    return 0 if judge(runs, answers, record) else 1


if __name__ == "__main__":
    sys.exit(main())

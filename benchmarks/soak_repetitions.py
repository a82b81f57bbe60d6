"""Soaks processes beside upstreams that answer twice.

Upstreams refuse some requests, and repeat earlier answers on the connections
that carried them, with the id or without it, at every moment.  Verified is
that each stream goes on from its own prefill in its own reservation, besides
the promises to callers.
"""

import random
from dataclasses import replace

from benchmarks.soak_nodes import NodeSoak
from benchmarks.soak_upstreams import SoakUpstream
from currantdeal.testing.platform_upstream import (
    StandInUpstream,
    send_json,
    send_refusal,
)
from currantdeal.testing.repeating_upstream import (
    AnswerBuffer,
    Moment,
    send_around,
)

REPEATED_SHARE = 0.15
REFUSED_SHARE = 0.1


class RandomlyRepeatingUpstream(StandInUpstream):
    """An upstream that repeats earlier answers and refuses some requests.

    Parameters
    ----------
    rng : random.Random
        Draws what is repeated and refused.
    owners : dict
        Ids of the prefilled requests by handle, shared by all engines.
    check : callable
        Counts the check of a promise, see ``NodeSoak.check``.
    echoes_calls : bool
        Whether answers to calls of the system bear their ids.
    """

    def __init__(self, *, rng, owners, check, echoes_calls, **more):
        """Start without connections."""
        super().__init__(**more)
        self._rng = rng
        self._owners = owners
        self._check = check
        self._echoes_calls = echoes_calls
        self._earlier = {}
        self._refused = set()
        self._holds = set()

    @property
    def runs(self):
        """Requests that execute work; refused ones are left out."""
        return [run for run in super().runs if id(run) not in self._refused]

    async def answer(self, request, writer):
        """Send the own answer, and at times an earlier one around it."""
        own = AnswerBuffer()
        await self._answer_own(request, own)
        earlier = self._earlier.get(writer)
        self._earlier[writer] = own.data
        if earlier is None or self._rng.random() > REPEATED_SHARE:
            writer.write(own.data)
        else:
            if self._rng.random() < 0.5:
                earlier = _without_id(earlier)
            moment = self._rng.choice(tuple(Moment))
            await send_around(writer, own.data, earlier, moment)
        await writer.drain()

    async def _answer_own(self, request, own):
        if request.is_run:
            await self._answer_run(request, own)
        else:
            self._answer_call(request, own)

    async def _answer_run(self, request, own):
        is_probe = request.request_id.startswith("probe-")
        if not is_probe and self._rng.random() < REFUSED_SHARE:
            self._refused.add(id(request))
            send_refusal(request, own)
        elif request.is_generation:
            self._verify_run(request)
            await super().answer(request, own)
        else:
            self.send(request, own, 200, request.body)

    def _answer_call(self, request, own):
        number = f"{self.upstream}-{self.incarnation}-{len(self.requests)}"
        if request.is_prefill:
            self._owners[number] = request.request_id
        elif request.target == "/v1/hold-take":
            self._holds.add(number)
        if not (self._echoes_calls or request.is_prefill):
            request = replace(request, headers=())
        send_json(request, own, {"Hold": number, "KvHandle": number})

    def _verify_run(self, request):
        source = request.get("X-Currantdeal-Kv-Source")
        if source:
            owner = self._owners.get(source.rpartition("/")[2])
            self._check(
                "a stream goes on from its own prefill",
                owner == request.request_id,
                f"{request.request_id}: {owner}",
            )
        hold = request.get("X-Currantdeal-Kv-Hold")
        self._check(
            "a stream runs in its own reservation",
            hold in self._holds,
            f"{request.request_id}: {hold}",
        )
        self._holds.discard(hold)


class RepeatingSoak(NodeSoak):
    """A soak whose upstreams answer twice."""

    def __init__(self, *, seed, **options):
        """Prepare the processes; ``run`` starts them."""
        self._answer_rng = random.Random(seed)
        super().__init__(seed=seed, **options)

    def _make_upstreams(self):
        owners = {}
        return [
            SoakUpstream(
                name=upstream.name,
                service=upstream.service,
                stage=upstream.stage,
                standin=RandomlyRepeatingUpstream(
                    upstream=upstream.name,
                    rng=self._answer_rng,
                    owners=owners,
                    check=self.check,
                    echoes_calls=number % 2 == 0,
                ),
                proxied=True,
            )
            for number, upstream in enumerate(super()._make_upstreams())
        ]


def _without_id(raw):
    head, _, body = raw.partition(b"\r\n\r\n")
    lines = [
        line
        for line in head.split(b"\r\n")
        if not line.lower().startswith(b"x-currantdeal-request-id:")
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body

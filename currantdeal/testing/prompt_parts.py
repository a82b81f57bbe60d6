"""Sends generations that share parts, one of which crashes engines."""

import asyncio
from dataclasses import dataclass

from currantdeal.testing.entry_world import request_bytes
from currantdeal.testing.platform_upstream import EVENTS, event_numbers

TIMEOUT_S = 5.0
"""Time after which a caller abandons its request."""

PREFIX_HEADER = "X-Currantdeal-Prefix-Hash"


@dataclass(frozen=True, kw_only=True)
class PromptAnswer:
    """The answer to one generation.

    Parameters
    ----------
    began_s : float
        Event loop time at which it was sent.
    status : int
        Status of the answer; 0 without one.
    events : tuple of int
        Numbers of the events that were received.
    raw : bytes
        All bytes that were received.
    """

    began_s: float
    status: int
    events: tuple[int, ...]
    raw: bytes

    @property
    def has_begun(self):
        """Whether it was accepted and its first event was received."""
        return self.status == 200 and bool(self.events)

    @property
    def is_whole(self):
        """Whether all events were received."""
        return self.events == tuple(range(1, EVENTS + 1))


class PromptSender:
    """Sends generations with given parts to entries, no two of them alike.

    Parameters
    ----------
    addresses : callable
        Returns the host and port of each entry.
    rng : random.Random
        Draws entries, routes and pauses.
    routes : tuple of str
        Paths to send to.
    headers : tuple of str
        Further header lines, such as a key.
    """

    def __init__(
        self, *, addresses, rng, routes=("/draft/1", "/note/1"), headers=()
    ):
        """Start without answers."""
        self._addresses = addresses
        self._rng = rng
        self._routes = routes
        self._headers = headers
        self.answers = []

    async def run(self, parts, *, pauses_s):
        """Send generations until cancelled.

        Parameters
        ----------
        parts : callable
            Returns the parts of the next prompt that others may share.
        pauses_s : tuple of float
            Shortest and longest pause before each request.
        """
        while True:
            await asyncio.sleep(self._rng.uniform(*pauses_s))
            await self.send(parts())

    async def send(self, parts):
        """Send one generation and return its ``PromptAnswer``."""
        began_s = asyncio.get_running_loop().time()
        raw = generation_bytes(
            parts,
            request_id=f"{self._rng.randrange(1 << 64):016x}",
            route=self._rng.choice(self._routes),
            headers=self._headers,
        )
        received = bytearray()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await self._exchange(raw, received)
        except (OSError, TimeoutError):
            pass
        answer = PromptAnswer(
            began_s=began_s,
            status=int(received[9:12] or 0),
            events=tuple(event_numbers(bytes(received))),
            raw=bytes(received),
        )
        self.answers.append(answer)
        return answer

    async def _exchange(self, raw, received):
        host, port = self._rng.choice(self._addresses())
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(raw)
            while data := await reader.read(65_536):
                received += data
        finally:
            writer.close()


def generation_bytes(parts, *, request_id, route, headers=()):
    """Return a generation whose last part and body are its own."""
    raw = request_bytes(
        route,
        body=request_id.encode(),
        more=(
            "X-Currantdeal-Model: m",
            f"X-Currantdeal-Token-Counts: {100 * len(parts) + 50},60",
            f"{PREFIX_HEADER}: {prefix_value(parts, request_id)}",
            *headers,
        ),
    )
    return raw.replace(b"r-1", request_id.encode())


def prefix_value(parts, own_part):
    """Return the value of the header that lists the parts of a prompt."""
    return ",".join([*(f"{part}:100" for part in parts), f"{own_part}:50"])


def shared_parts(request):
    """Return the parts of a ``ReceivedRequest`` except the last."""
    fields = request.get(PREFIX_HEADER).split(",")[:-1]
    return tuple(field.partition(":")[0] for field in fields)


@dataclass(frozen=True, kw_only=True)
class PartMix:
    """Parts of the prompts of two groups of callers.

    Parameters
    ----------
    name : str
        Name of the mix, for tests.
    crashing : tuple of tuple
        Parts of the prompts that crash engines; one prompt of each in turn.
    sound : tuple of tuple
        Parts of the prompts of the other callers; one is drawn for each.
    culprits : tuple of str
        The parts that crash engines.
    """

    name: str
    crashing: tuple[tuple[str, ...], ...]
    sound: tuple[tuple[str, ...], ...]
    culprits: tuple[str, ...] = ("bad",)

    def __str__(self):
        """Return the name."""
        return self.name


MIXES = (
    PartMix(
        name="second-of-three",
        crashing=(("a0", "bad"),),
        sound=(("a0", "c0"), ("a0", "c1"), ("a0",)),
    ),
    PartMix(
        name="third-of-four",
        crashing=(("a0", "b0", "bad"),),
        sound=(("a0", "b0", "c0"), ("a0", "b0"), ("a0", "c1")),
    ),
    PartMix(
        name="second-of-four",
        crashing=(("a0", "bad", "b0"),),
        sound=(("a0", "b0"), ("a0", "b0", "c0")),
    ),
    PartMix(
        name="first-of-three",
        crashing=(("bad", "b0"),),
        sound=(("a0", "b0"), ("b0",), ("a0", "c0")),
    ),
    PartMix(
        name="always-with-another",
        crashing=(("a0", "b9", "bad"),),
        sound=(("a0", "c0"), ("a0", "c1"), ("a0",)),
    ),
    PartMix(
        name="two-culprits",
        crashing=(("a0", "bad"), ("a0", "bad2")),
        sound=(("a0", "c0"), ("a0", "c1"), ("a0",)),
        culprits=("bad", "bad2"),
    ),
)
"""Where the part that crashes engines stands, and what is beside it."""

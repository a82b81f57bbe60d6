"""Client of stand-ins: control calls, journals and what they hold."""

import msgspec
import urllib3

from currantdeal.ports import HeldMemory
from currantdeal.testing.engine_messages import EngineEvent
from currantdeal.testing.errors import HarnessError, RefusedError
from currantdeal.testing.service import ServiceRun

TIMEOUT_S = 10.0


class StandInClient:
    """Talks to one stand-in directly, past every instance and proxy.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the stand-in.
    """

    def __init__(self, *, address):
        """Open no connection yet."""
        self._address = address
        self._pool = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)

    @property
    def address(self):
        """``IP:PORT`` of the stand-in."""
        return self._address

    def set_faults(self, **changes):
        """Set faults by their names; the others stay."""
        self.post("/control", changes)

    def events(self):
        """Return the journal of an engine."""
        return self._list("/control/journal", "events", EngineEvent)

    def runs(self):
        """Return the journal of a plain service."""
        return self._list("/control/journal", "runs", ServiceRun)

    def held(self):
        """Return the memory that an engine holds."""
        return self._list("/engine/held", "held", HeldMemory)

    def post(self, path, body):
        """Return the decoded answer to a JSON call.

        Raises
        ------
        RefusedError
            If the stand-in refuses.
        """
        raw = msgspec.json.encode(body)
        return self._decoded(self._request("POST", path, raw))

    def stream(self, path, body):
        """Yield the events of a streamed answer as dictionaries."""
        raw = msgspec.json.encode(body)
        answer = self._request("POST", path, raw, preload_content=False)
        if answer.status != 200:
            self._decoded(answer)
        with answer:
            for line in answer:
                if line.startswith(b"data: "):
                    yield msgspec.json.decode(line[len(b"data: ") :])

    def _list(self, path, name, cls):
        body = self._decoded(self._request("GET", path, None))
        return msgspec.convert(body[name], tuple[cls, ...])

    def _request(self, method, path, body, **options):
        url = f"http://{self._address}{path}"
        try:
            return self._pool.request(method, url, body=body, **options)
        except urllib3.exceptions.HTTPError as exc:
            raise HarnessError(f"{url}: {exc}") from exc

    def _decoded(self, answer):
        body = msgspec.json.decode(answer.data)
        if answer.status >= 400:
            raise RefusedError(
                answer.status, body.get("error"), body.get("message", "")
            )
        return body

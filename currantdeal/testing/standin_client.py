"""Call stand-ins directly: set faults, read journals and held memory."""

import msgspec
import urllib3

from currantdeal.ports import HeldMemory
from currantdeal.testing.engine_messages import EngineEvent
from currantdeal.testing.errors import HarnessError, RefusedError
from currantdeal.testing.service import ServiceRun

TIMEOUT_S = 10.0


class StandInClient:
    """Client of one stand-in that bypasses instances and proxies.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the stand-in.
    """

    def __init__(self, *, address):
        """Create a client without open connections."""
        self._address = address
        self._pool = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)

    @property
    def address(self):
        """``IP:PORT`` of the stand-in."""
        return self._address

    def set_faults(self, **changes):
        """Set faults by name and leave the others unchanged."""
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
        """Send a JSON call and return its decoded response.

        Raises
        ------
        RefusedError
            If the status of the response is 400 or above.
        """
        raw = msgspec.json.encode(body)
        return self._decode(self._request("POST", path, raw))

    def stream(self, path, body):
        """Send a JSON call and yield the events of its response stream."""
        raw = msgspec.json.encode(body)
        response = self._request("POST", path, raw, preload_content=False)
        if response.status != 200:
            self._decode(response)
        with response:
            for line in response:
                if line.startswith(b"data: "):
                    yield msgspec.json.decode(line[len(b"data: ") :])

    def _list(self, path, name, cls):
        body = self._decode(self._request("GET", path, None))
        return msgspec.convert(body[name], tuple[cls, ...])

    def _request(self, method, path, body, **options):
        url = f"http://{self._address}{path}"
        try:
            return self._pool.request(method, url, body=body, **options)
        except urllib3.exceptions.HTTPError as exc:
            raise HarnessError(f"{url}: {exc}") from exc

    def _decode(self, response):
        body = msgspec.json.decode(response.data)
        if response.status >= 400:
            raise RefusedError(
                response.status, body.get("error"), body.get("message", "")
            )
        return body

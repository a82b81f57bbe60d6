"""How stand-ins announce themselves, renew and withdraw."""

import threading

import msgspec
import urllib3

from currantdeal.testing.errors import BenchError

CONNECT_S = 0.5
READ_S = 2.0
RETRY_S = 0.1
DEFAULT_RENEW_S = 0.5


class AnnounceError(BenchError):
    """No instance took the call."""


class Announcer:
    """Keeps an upstream known to the system.

    Parameters
    ----------
    instances : tuple of str
        ``IP:PORT`` of instances; on failure the next one is tried.
    key : str
        Key of kind ``upstream``; may be empty.
    upstream : callable
        Returns the ``Upstream`` to announce.
    load : callable
        Returns the ``LoadReport`` to renew with.
    silent : callable
        Returns True while nothing shall be sent.
    """

    def __init__(self, *, instances, key, upstream, load, silent):
        """Send nothing before ``start``."""
        self._instances = list(instances)
        self._headers = {"Content-Type": "application/json"}
        if key:
            self._headers["Authorization"] = f"Bearer {key}"
        self._upstream = upstream
        self._load = load
        self._silent = silent
        self._stopped = threading.Event()
        self._announced = None
        self._renew_s = DEFAULT_RENEW_S
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_S, read=READ_S),
        )

    def start(self):
        """Announce and renew on a thread until ``withdraw``."""
        if self._instances:
            threading.Thread(target=self._run, daemon=True).start()

    def withdraw(self):
        """Stop renewing and tell the system to send no more work."""
        self._stopped.set()
        if self._announced is None:
            return
        path = f"/upstreams/{self._announced.upstream_id}/withdraw"
        body = {"incarnation": self._announced.incarnation}
        for _ in self._instances:
            try:
                self._post(path, body)
                return
            except AnnounceError:
                self._use_next()

    def _run(self):
        while not self._stopped.is_set():
            wait_s = RETRY_S
            if not self._silent():
                try:
                    self._announce_or_renew()
                    wait_s = self._renew_s
                except AnnounceError:
                    self._use_next()
            self._stopped.wait(wait_s)

    def _announce_or_renew(self):
        current = self._upstream()
        if current != self._announced:
            self._renewed(self._post("/upstreams/announce", current))
            self._announced = current
            return
        path = f"/upstreams/{current.upstream_id}/renew"
        answer = self._post(path, self._load())
        if answer.status == 404:
            self._announced = None
        self._renewed(answer)

    def _renewed(self, answer):
        body = msgspec.json.decode(answer.data)
        self._renew_s = body.get("renew_every_s", RETRY_S)

    def _post(self, path, body):
        url = f"http://{self._instances[0]}{path}"
        raw = msgspec.json.encode(body)
        try:
            answer = self._pool.request(
                "POST", url, body=raw, headers=self._headers
            )
        except urllib3.exceptions.HTTPError as exc:
            raise AnnounceError(str(exc)) from exc
        if answer.status >= 400 and answer.status != 404:
            raise AnnounceError(f"{url}: {answer.status}")
        return answer

    def _use_next(self):
        self._instances.append(self._instances.pop(0))

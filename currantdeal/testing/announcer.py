"""Announce a stand-in to the instances, renew it and withdraw it."""

import threading

import msgspec
import urllib3

from currantdeal.testing.errors import BenchError

CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 2.0
RETRY_INTERVAL_S = 0.1
DEFAULT_RENEW_INTERVAL_S = 0.5


class AnnounceError(BenchError):
    """An instance did not accept the call."""


class Announcer:
    """Keeps the registration of an upstream alive.

    Parameters
    ----------
    instances : tuple of str
        ``IP:PORT`` of the instances; after a failure the next one is used.
    key : str
        Key of kind ``upstream``; may be empty.
    upstream : callable
        Returns the ``Upstream`` to announce.
    load : callable
        Returns the ``LoadReport`` to renew with.
    paused : callable
        Returns True while nothing must be sent.
    """

    def __init__(self, *, instances, key, upstream, load, paused):
        """Create an announcer that sends nothing before ``start``."""
        self._instances = list(instances)
        self._headers = {"Content-Type": "application/json"}
        if key:
            self._headers["Authorization"] = f"Bearer {key}"
        self._upstream = upstream
        self._load = load
        self._paused = paused
        self._stopped = threading.Event()
        self._announced = None
        self._renew_s = DEFAULT_RENEW_INTERVAL_S
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S
            ),
        )

    def start(self):
        """Announce and renew in a background thread until ``withdraw``."""
        if self._instances:
            threading.Thread(target=self._run, daemon=True).start()

    def withdraw(self):
        """Stop renewing and withdraw the upstream, so that it gets no work."""
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
                self._rotate_instances()

    def _run(self):
        while not self._stopped.is_set():
            wait_s = RETRY_INTERVAL_S
            if not self._paused():
                try:
                    self._announce_or_renew()
                    wait_s = self._renew_s
                except AnnounceError:
                    self._rotate_instances()
            self._stopped.wait(wait_s)

    def _announce_or_renew(self):
        current = self._upstream()
        if current != self._announced:
            self._update_renew_interval(
                self._post("/upstreams/announce", current)
            )
            self._announced = current
            return
        path = f"/upstreams/{current.upstream_id}/renew"
        response = self._post(path, self._load())
        if response.status == 404:
            self._announced = None
        self._update_renew_interval(response)

    def _update_renew_interval(self, response):
        body = msgspec.json.decode(response.data)
        self._renew_s = body.get("renew_every_s", RETRY_INTERVAL_S)

    def _post(self, path, body):
        url = f"http://{self._instances[0]}{path}"
        raw = msgspec.json.encode(body)
        try:
            response = self._pool.request(
                "POST", url, body=raw, headers=self._headers
            )
        except urllib3.exceptions.HTTPError as exc:
            raise AnnounceError(str(exc)) from exc
        if response.status >= 400 and response.status != 404:
            raise AnnounceError(f"{url}: {response.status}")
        return response

    def _rotate_instances(self):
        self._instances.append(self._instances.pop(0))

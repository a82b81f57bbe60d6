"""Run a cluster with callers and an operator, for scenarios and soak tests."""

import time

import msgspec
import urllib3

from currantdeal.testing.caller import CallerClient
from currantdeal.testing.cluster import Cluster
from currantdeal.testing.errors import HarnessError
from currantdeal.testing.shapes import OPERATOR_KEY, ClusterShape, spread
from currantdeal.testing.traffic import CallerLoad, Received
from currantdeal.testing.verdicts import (
    find_interrupted_requests,
    find_order_violations,
    find_refused_orders_that_ran,
    find_wrong_answers,
)
from currantdeal.testing.waiting import wait_until

LIMIT_S = 60.0
FAST_ENGINE_OPTIONS = ("--step-base-s", "0.004")
IN_FORCE_WAIT_S = 20


class World:
    """A cluster with its callers and its operator."""

    def __init__(self, *, folder):
        """Create a world without running processes; see ``start``."""
        self._folder = folder
        self._requests = 0
        self.cluster = None
        self.load = None
        self.failed = set()
        self.notes = {}

    def start(self, count, *, replicas=3, engines=2, announce_to=(), **shape):
        """Start instances, engines and a shop that all requests may use."""
        instances = spread(count, replicas=replicas)
        self.cluster = Cluster(
            folder=self._folder,
            shape=ClusterShape(instances=instances, **shape),
        )
        self.cluster.start()
        self.cluster.wait_ready(limit_s=LIMIT_S)
        for number in range(1, engines + 1):
            for role in ("prefill", "decode"):
                self.cluster.add_engine(
                    f"{role}-{number}",
                    roles=(role,),
                    options=FAST_ENGINE_OPTIONS,
                    announce_to=announce_to,
                )
        self.cluster.add_service("shop-1", announce_to=announce_to)
        self.cluster.wait_upstreams(limit_s=LIMIT_S)
        answer = self.apply("all", {"name": "all"})
        assert answer.status == 200, answer.body

    def close(self):
        """Stop the callers and all processes."""
        if self.load is not None:
            self.load.stop()
        if self.cluster is not None:
            self.cluster.close()

    def names(self):
        """Return the names of the instances that are not in ``failed``."""
        return [
            name for name in self.cluster.instances if name not in self.failed
        ]

    def any_instance(self, *but):
        """Return a running instance that is not in ``but``."""
        name = next(each for each in self.names() if each not in but)
        return self.cluster.instance(name)

    def call(self, method, path, body=None, *, at=None):
        """Send an operator's call to an instance."""
        address = (at or self.any_instance()).address
        client = CallerClient(address=address, key=OPERATOR_KEY)
        raw = msgspec.json.encode(body) if body is not None else b""
        return client.call(method, path, body=raw)

    def request_id(self):
        """Return a new request id."""
        self._requests += 1
        return f"scenario-{self._requests}"

    def apply(self, name, selector, *, version=0, at=None, request_id=None):
        """Apply a selector and wait until it is in force.

        The wait ends after ``IN_FORCE_WAIT_S`` at the latest.
        """
        body = {
            "selector": selector,
            "expected_version": version,
            "request_id": request_id or self.request_id(),
            "wait_s": IN_FORCE_WAIT_S,
        }
        return self.call("PUT", f"/operator/selectors/{name}", body, at=at)

    def label(self, upstream, value, *, version, name="withdrawn", at=None):
        """Set one label of an upstream."""
        body = {
            "upstream_id": upstream,
            "labels": [{"name": name, "value": value}],
            "expected_version": version,
            "request_id": self.request_id(),
            "wait_s": 0,
        }
        path = f"/operator/upstreams/{upstream}/labels"
        return self.call("POST", path, body, at=at)

    def set_withdrawn(self, upstream, withdrawn, *, at):
        """Withdraw or restore an upstream; return the time of acceptance.

        Returns
        -------
        float or None
            Wall-clock time in seconds since the epoch; None if refused.
        """
        records = at.operator("/operator/upstreams")["upstreams"]
        versions = {
            record["upstream"]["upstream_id"]: record["labels_version"]
            for record in records
        }
        label = [{"name": "withdrawn", "value": "yes"}]
        body = {
            "upstream_id": upstream,
            "labels": label if withdrawn else [],
            "removed": [] if withdrawn else ["withdrawn"],
            "expected_version": versions.get(upstream, 0),
            "request_id": self.request_id(),
            "wait_s": 0,
        }
        path = f"/operator/upstreams/{upstream}/labels"
        answer = self.call("POST", path, body, at=at)
        return time.time() if answer.status == 200 else None

    def status(self, name):
        """Return the status of an instance, or None if it does not respond."""
        try:
            return self.cluster.instance(name).status()
        except (HarnessError, urllib3.exceptions.HTTPError):
            return None

    def leader(self):
        """Return the leader, once a running instance reports one."""
        return wait_until(self._leader, what="leader", limit_s=LIMIT_S)

    def fail(self, name):
        """Kill an instance."""
        self.failed.add(name)
        self.cluster.instance(name).kill()

    def start_load(self, **options):
        """Start the callers and wait for the first served requests."""
        addresses = self.cluster.caller_addresses
        options = {"addresses": addresses} | options
        self.load = CallerLoad(**options)
        self.load.start()
        self.wait_served(5)

    def wait_served(self, more):
        """Wait until callers received that many more complete responses."""
        before = self.load.count()
        wait_until(
            lambda: self.load.count() >= before + more,
            what=f"{more} more responses",
            limit_s=LIMIT_S,
        )

    def failed_addresses(self):
        """Return the caller addresses of the failed instances."""
        return {
            self.cluster.instance(name).advertised_address
            for name in self.failed
        }

    def runs(self):
        """Return the calls that the shop executed."""
        return self.cluster.stand_in("shop-1").client.runs()

    def engines(self):
        """Return the stand-in clients of all engines."""
        return [
            stand_in.client
            for name, stand_in in self.cluster.stand_ins.items()
            if name != "shop-1"
        ]

    def find_violations(self):
        """Stop the callers and return the violated guarantees."""
        self.load.stop()
        sent, runs = self.load.sent, self.runs()
        return (
            find_wrong_answers(sent)
            + find_order_violations(sent, runs)
            + find_refused_orders_that_ran(sent, runs)
            + find_interrupted_requests(sent, allowed=self.failed_addresses())
        )

    def wait_nothing_held(self):
        """Wait until no engine holds memory for a request."""
        wait_until(
            lambda: not any(engine.held() for engine in self.engines()),
            what="free engine memory",
            limit_s=LIMIT_S,
        )

    def count(self, received):
        """Return the number of requests with an outcome."""
        return self.load.count(received=Received(received))

    def _leader(self):
        for name in self.names():
            status = self.status(name)
            if status and status["leader"] in self.names():
                return status["leader"]
        return None

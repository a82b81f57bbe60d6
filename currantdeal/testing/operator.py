"""Sends requests as an operator of the system, for tests."""

import uuid

import msgspec
import urllib3

from currantdeal.adapters.http.operator import LabelsBody, SelectorBody
from currantdeal.core import Label
from currantdeal.state import WITHDRAWN_LABEL
from currantdeal.testing.errors import HarnessError, RefusedError
from currantdeal.testing.shapes import OPERATOR_KEY
from currantdeal.testing.waiting import wait_until

TIMEOUT_S = 30.0
UNAVAILABLE = 503


class OperatorCalls:
    """Sends the changes of an operator to one instance.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the instance.
    """

    def __init__(self, *, address):
        """Open no connection yet."""
        self._address = address
        self._pool = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)

    def apply_selector(self, selector, *, expected_version=0, wait_s=10.0):
        """Create or replace a selector."""
        body = SelectorBody(
            request_id=uuid.uuid4().hex,
            expected_version=expected_version,
            selector=selector,
            wait_s=wait_s,
        )
        return self._send("PUT", f"selectors/{selector.name}", body)

    def withdraw(self, upstream_id, *, expected_version=0, wait_s=0.0):
        """Set the label that stops new work for an upstream."""
        body = LabelsBody(
            request_id=uuid.uuid4().hex,
            expected_version=expected_version,
            labels=(Label(name=WITHDRAWN_LABEL, value="yes"),),
            wait_s=wait_s,
        )
        return self._send("POST", f"upstreams/{upstream_id}/labels", body)

    def restore(self, upstream_id, *, expected_version, wait_s=10.0):
        """Remove the label that ``withdraw`` sets."""
        body = LabelsBody(
            request_id=uuid.uuid4().hex,
            expected_version=expected_version,
            removed=(WITHDRAWN_LABEL,),
            wait_s=wait_s,
        )
        return self._send("POST", f"upstreams/{upstream_id}/labels", body)

    def _send(self, method, path, body):
        # A change that no leader accepted in time is retried with the same
        # request id, which is what operators are asked to do.
        return wait_until(
            lambda: self._send_once(method, path, body),
            what=f"an answer to {method} {path}",
        )

    def _send_once(self, method, path, body):
        url = f"http://{self._address}/operator/{path}"
        try:
            answer = self._pool.request(
                method,
                url,
                body=msgspec.json.encode(body),
                headers={
                    "Authorization": f"Bearer {OPERATOR_KEY}",
                    "Content-Type": "application/json",
                },
            )
        except urllib3.exceptions.HTTPError as exc:
            raise HarnessError(f"{url}: {exc}") from exc
        if answer.status == UNAVAILABLE:
            return None
        found = msgspec.json.decode(answer.data)
        if answer.status >= 400:
            raise RefusedError(answer.status, "refused", str(found))
        return found

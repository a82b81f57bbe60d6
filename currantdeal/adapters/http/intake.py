"""Builds work from HTTP requests: caller, target and deadline."""

import uuid

from currantdeal.adapters.http.errors import bad_request
from currantdeal.core import CallerId, RequestId, Work

DEADLINE_HEADER = "X-Deadline-Ms"
KEY_HEADER = "Idempotency-Key"
MAX_DEADLINE_MS = 3_600_000
MAX_KEY_LENGTH = 200
ANONYMOUS = CallerId("anonymous")


class Intake:
    """Builds the ``Work`` of HTTP requests.

    Parameters
    ----------
    region : RegionId
        Region of the instance.
    deadline_s : float
        Default deadline of requests, in seconds.
    clock : Clock
        Source of arrival times.
    """

    def __init__(self, *, region, deadline_s, clock):
        """Store the settings."""
        self._region = region
        self._deadline_s = deadline_s
        self._clock = clock

    def work(self, request, *, kind, target, **fields):
        """Return the ``Work`` of a request; ``fields`` are passed on."""
        arrived_s = self._clock.monotonic_s()
        return Work(
            request_id=RequestId(uuid.uuid4().hex),
            caller=caller_of(request),
            kind=kind,
            target=target,
            region=self._region,
            arrived_s=arrived_s,
            deadline_s=arrived_s + self._deadline_after_s(request),
            **fields,
        )

    def _deadline_after_s(self, request):
        text = request.header(DEADLINE_HEADER)
        if not text:
            return self._deadline_s
        if not text.isascii() or not text.isdigit():
            raise bad_request(
                f"{DEADLINE_HEADER} must be a number of milliseconds"
            )
        millis = int(text[:12])
        if not 0 < millis <= MAX_DEADLINE_MS:
            raise bad_request(
                f"{DEADLINE_HEADER} must be from 1 to {MAX_DEADLINE_MS}"
            )
        return millis / 1000.0


def caller_of(request):
    """Return the caller that a request is charged to."""
    if request.key is None:
        return ANONYMOUS
    return request.key.caller or CallerId(request.key.name)


def idempotency_key_of(request):
    """Return the caller's idempotency key, or an empty string."""
    key = request.header(KEY_HEADER).strip()
    if len(key) > MAX_KEY_LENGTH:
        raise bad_request(
            f"{KEY_HEADER} is longer than {MAX_KEY_LENGTH} characters"
        )
    return key

"""Releases what upstreams hold for requests that no longer need it."""

import structlog

from currantdeal.node.errors import ExchangeError
from currantdeal.node.exchange import exchange

RELEASE_TIMEOUT_S = 0.5
"""Time in which an upstream must answer a release."""

_log = structlog.get_logger(__name__)


def release(context, address, call):
    """Send a release call in the background; a failure is only logged."""
    context.in_background(_send_release(context, address, call))


async def _send_release(context, address, call):
    try:
        await exchange(
            context.pool,
            address,
            call,
            timeout_s=RELEASE_TIMEOUT_S,
            retryable=True,
        )
    except ExchangeError as exc:
        # The reservation expires at the engine.
        _log.info("release-failed", address=address, why=str(exc))

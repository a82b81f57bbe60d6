"""Header names of the platform, in lower case."""

REQUEST_ID = b"x-currantdeal-request-id"
INSTANCE = b"x-currantdeal-instance-id"
DEADLINE = b"x-currantdeal-deadline-ms"
EXPECTED_INSTANCE = b"x-currantdeal-expected-instance"
EXPECTED_VERSION = b"x-currantdeal-expected-version"
NOT_EXECUTED = b"x-currantdeal-not-executed"
SIGNATURE = b"x-currantdeal-response-signature"
LOAD = b"x-currantdeal-instance-load"
RATE_LIMIT = b"server-limit"
RATE_LIMIT_LONG = b"x-currantdeal-server-limit"
TOKEN_COUNTS = b"x-currantdeal-token-counts"
PREFIX_HASH = b"x-currantdeal-prefix-hash"
LENGTH_HINT = b"x-currantdeal-length-hint"
PRIORITY = b"x-currantdeal-request-priority"
STAGE = b"x-currantdeal-stage"
KV_SOURCE = b"x-currantdeal-kv-source"
KV_HOLD = b"x-currantdeal-kv-hold"
KV_BACKUP = b"x-currantdeal-kv-backup"
KV_FETCH = b"kv-fetch"
KV_FETCH_LONG = b"x-currantdeal-kv-fetch"
PIN = b"x-currantdeal-pin-ms"
LAST_EVENT_ID = b"last-event-id"
AUTHORIZATION = b"authorization"
TENANT = b"x-currantdeal-tenant"

SYSTEM_HEADERS = frozenset(
    {
        DEADLINE,
        EXPECTED_INSTANCE,
        EXPECTED_VERSION,
        PRIORITY,
        STAGE,
        KV_SOURCE,
        KV_HOLD,
        KV_BACKUP,
        KV_FETCH,
        KV_FETCH_LONG,
        PIN,
        LAST_EVENT_ID,
        TENANT,
    }
)
"""Headers of requests to upstreams that only the system sets.

A caller's own value is dropped, because it could affect another caller's KV
cache or reserve memory in the system's name.  The deadline and the last event
id are set again to the system's own values.
"""

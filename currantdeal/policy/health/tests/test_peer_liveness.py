"""Load pattern: slow readers, beside peers that are gone."""

import pytest

from currantdeal.policy.health.peer_liveness import (
    GONE_S,
    ConnectionFacts,
    PeerState,
    judge_peer,
)

OPEN = {"window_bytes": 4_096}
SENT = {"unacknowledged": 2, "unsent_bytes": 9_000}
WAITING = {"unsent_bytes": 9_000}

TABLE = [
    ("nothing waits", {}, 60.0, PeerState.IDLE),
    ("our side has ended", {"has_ended": True}, 60.0, PeerState.CLOSING),
    ("on the way", OPEN | SENT, 0.2, PeerState.TAKING),
    ("long round trip", OPEN | SENT, GONE_S, PeerState.TAKING),
    (
        "packets are lost",
        OPEN | SENT | {"retransmissions": 3},
        GONE_S,
        PeerState.GONE,
    ),
    (
        "one was lost a moment ago",
        OPEN | SENT | {"retransmissions": 1},
        0.3,
        PeerState.TAKING,
    ),
    ("window closed", WAITING, 0.5, PeerState.STALLED),
    ("window less than a segment", WAITING | OPEN, 0.5, PeerState.STALLED),
    (
        "one probe left unanswered",
        WAITING | {"probes": 1},
        1.6,
        PeerState.STALLED,
    ),
    ("no probe answered", WAITING | {"probes": 3}, GONE_S, PeerState.GONE),
    (
        "closed on sent segments, acknowledges",
        SENT | {"retransmissions": 6},
        3.3,
        PeerState.STALLED,
    ),
    (
        "lost while it lingers",
        OPEN | SENT | {"has_ended": True, "retransmissions": 3},
        GONE_S,
        PeerState.GONE,
    ),
    ("reset", WAITING | {"is_reset": True}, 0.0, PeerState.GONE),
]


@pytest.mark.parametrize(
    ("facts", "silent_s", "state"),
    [row[1:] for row in TABLE],
    ids=[row[0] for row in TABLE],
)
def test_state_follows_from_what_the_kernel_acknowledges(
    facts, silent_s, state
):
    """Guards against a slow peer that is taken for a lost one."""
    assert judge_peer(ConnectionFacts(**facts), silent_s=silent_s) is state


@pytest.mark.parametrize(
    ("repeats", "state"),
    [(0, PeerState.STALLED), (1, PeerState.STALLED), (2, PeerState.GONE)],
)
def test_repeated_segments_are_the_probes_of_a_window_that_closed_on_them(
    repeats, state
):
    """Guards against a loss that shows only after ever longer intervals."""
    facts = ConnectionFacts(**SENT, retransmissions=7)
    assert judge_peer(facts, silent_s=GONE_S, repeats=repeats) is state

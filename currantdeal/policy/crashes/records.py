"""Records of crashes, and how they are merged.

Merging is commutative and keeps the latest crashes, the same ones in every
registry.
"""

from dataclasses import dataclass

from currantdeal.policy.crashes.evidence import Crash

MAX_CRASHES = 32
"""Limit of crashes, and of cleared crashes, that are kept per identity."""

MAX_VERSIONS = 4
"""Limit of versions of software that are kept per identity."""


@dataclass(frozen=True, kw_only=True)
class SuspectRecord:
    """Crash history of one identity, or a part of it.

    Parameters
    ----------
    fingerprint : bytes
        The identity, see ``currantdeal.policy.crashes.identity``.
    crashes : tuple of Crash
        Crashes of upstreams while they ran a request with it.
    cleared : tuple of Crash
        Crashes that were followed by a completion of such a request.
    sound_on : tuple of str
        Versions of software under which such a request has completed.
    """

    fingerprint: bytes
    crashes: tuple[Crash, ...] = ()
    cleared: tuple[Crash, ...] = ()
    sound_on: tuple[str, ...] = ()


def record_of(suspect):
    """Return the ``SuspectRecord`` of a ``Suspect``."""
    return SuspectRecord(
        fingerprint=suspect.identity,
        crashes=tuple(suspect.crashes.values()),
        cleared=tuple(suspect.cleared.values()),
        sound_on=tuple(sorted(suspect.sound_on)),
    )


def merge_into(suspect, record):
    """Merge a record into a suspect; returns what it changed, or None."""
    crashes_before, cleared_before = suspect.crashes, suspect.cleared
    sound_before = suspect.sound_on
    cleared = {c.incarnation: c for c in record.cleared}
    suspect.cleared = _keep_latest({**cleared, **cleared_before})
    crashes = dict(crashes_before)
    for crash in record.crashes:
        existing = crashes.get(crash.incarnation, crash)
        crashes[crash.incarnation] = existing.merge(crash)
    for incarnation in suspect.cleared:
        crashes.pop(incarnation, None)
    suspect.set_crashes(_keep_latest(crashes))
    sound_on = sound_before.union(record.sound_on)
    suspect.sound_on = frozenset(sorted(sound_on)[-MAX_VERSIONS:])
    change = SuspectRecord(
        fingerprint=suspect.identity,
        crashes=_difference(suspect.crashes, crashes_before),
        cleared=_difference(suspect.cleared, cleared_before),
        sound_on=tuple(sorted(suspect.sound_on - sound_before)),
    )
    if change.crashes or change.cleared or change.sound_on:
        return change
    return None


def _difference(after, before):
    return tuple(c for key, c in after.items() if before.get(key) != c)


def _keep_latest(crashes):
    """Return the latest crashes, the same ones in every registry."""
    if len(crashes) <= MAX_CRASHES:
        return crashes
    order = sorted(crashes, key=lambda key: (key[1], key[0]), reverse=True)
    return {key: crashes[key] for key in order[:MAX_CRASHES]}

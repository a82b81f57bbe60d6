"""Maintains the audit trail: who changed what, when, from where.

It is part of the replicated state, so that it is the same on every replica
and contained in every snapshot.
"""

from dataclasses import replace

import msgspec

from currantdeal.state.cluster import AuditRecord


def append_audit(state, command, subject, before, after):
    """Return the state with a record of a change in its audit trail."""
    origin = command.origin
    record = AuditRecord(
        version=state.version,
        wall_s=origin.wall_s,
        actor=origin.actor,
        instance=origin.instance,
        address=origin.address,
        request_id=origin.request_id,
        change=type(command).__name__,
        subject=subject,
        before=describe(before),
        after=describe(after),
    )
    audit = state.audit.push(record)
    if len(audit) > state.limits.audit_records:
        audit = audit.pop()
    return replace(state, audit=audit)


def read_audit(state, *, after_version=0, limit=100):
    """Return the latest records after a version, oldest first."""
    newest = state.audit.newest(limit)
    return tuple(rec for rec in newest if rec.version > after_version)


def describe(value):
    """Return a value as compact JSON, or an empty string for None."""
    if value is None:
        return ""
    return msgspec.json.encode(value).decode()

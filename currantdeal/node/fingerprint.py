"""Fingerprints that identify repeated attempts of the same request."""

from currantdeal.core import digest_parts
from currantdeal.policy.crashes.identity import IdentityKind, digest_of

FINGERPRINT_BYTES = 16

SHOWN_BYTES = 4
"""Bytes of a fingerprint that logs show.

They suffice to match log lines and are too few to confirm a guess of the
content.
"""


def fingerprint_of(request, call):
    """Return the fingerprint of a request, the same for all its attempts.

    It covers method, host, path, query, the caller's credentials and the body.
    Other headers may differ between attempts.  So may the network address,
    since an organisation sends from many machines.

    Parameters
    ----------
    request : currantdeal.node.http_request.Request
        The complete request.
    call : currantdeal.node.dialect.CallerRequest
        The decoded headers of the request.
    """
    head = request.head
    digest = digest_parts(
        head.method.encode(),
        head.get("host", "").lower().encode("latin-1"),
        head.target.encode("latin-1"),
        call.credentials_digest,
        request.body,
    )
    return digest[:FINGERPRINT_BYTES]


def part_fingerprint(part, organisation=""):
    """Return the fingerprint of a part of a prompt, the same in all requests.

    Parameters
    ----------
    part : str
        Identifier of the part.
    organisation : str
        Only requests of this organisation; empty for those of all.
    """
    digest = digest_parts(part.encode(), organisation.encode())
    return digest[:FINGERPRINT_BYTES]


def fingerprint_prefix(identity):
    """Return the hexadecimal prefix of a fingerprint shown in logs.

    Parameters
    ----------
    identity : bytes
        A fingerprint, or an identity that has one, see
        ``currantdeal.policy.crashes.identity``.
    """
    return digest_of(identity)[:SHOWN_BYTES].hex()


def describe_verdict(verdict):
    """Return what a ``Verdict`` quarantines, for logs and answers."""
    shown = " and ".join(sorted(map(fingerprint_prefix, verdict.members)))
    if verdict.kind is IdentityKind.REQUEST:
        return f"it is in quarantine as {shown}"
    noun = "part" if len(verdict.members) == 1 else "parts"
    return f"its prompt has the {noun} {shown}, in quarantine"

"""Checks API keys, which are stored as hashes."""

import hashlib
import ipaddress

from currantdeal.adapters.http.errors import HttpError

_BEARER = "bearer "
_CHALLENGE = (("WWW-Authenticate", "Bearer"),)


class KeyRing:
    """The API keys from the settings.

    Without any keys, only clients on loopback addresses are served.

    Parameters
    ----------
    keys : tuple of KeySettings
        Keys of callers, operators and upstreams.
    """

    def __init__(self, *, keys):
        """Index the keys by their hashes."""
        self._by_hash = {key.sha256.lower(): key for key in keys}

    @property
    def is_open(self):
        """True if no key is required, but only from loopback addresses."""
        return not self._by_hash

    def check(self, kind, authorization, client_address):
        """Return the presented key, or None if the settings have no keys.

        Parameters
        ----------
        kind : KeyKind
            Kind of key that is required; another kind is refused.
        authorization : str
            Value of the ``Authorization`` header.
        client_address : str
            IP number of the client.

        Raises
        ------
        HttpError
            If the key is missing, unknown or of another kind, or if there are
            no keys and the client is not on a loopback address.
        """
        if self.is_open:
            if not ipaddress.ip_address(client_address).is_loopback:
                raise HttpError(
                    403,
                    "loopback-only",
                    "without keys in its settings the instance serves "
                    "loopback addresses only",
                )
            return None
        if not authorization.lower().startswith(_BEARER):
            raise HttpError(
                401,
                "no-key",
                "send the key as 'Authorization: Bearer KEY'",
                headers=_CHALLENGE,
            )
        presented = authorization[len(_BEARER) :].strip()
        digest = hashlib.sha256(
            presented.encode("utf-8", "replace")
        ).hexdigest()
        key = self._by_hash.get(digest)
        if key is None:
            raise HttpError(
                401, "unknown-key", "the key is unknown", headers=_CHALLENGE
            )
        if key.kind is not kind:
            raise HttpError(
                403, "wrong-key", f"this needs a key of kind {kind.value}"
            )
        return key

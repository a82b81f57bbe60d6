"""Errors of this package.  No message contains a key."""

from currantdeal.core.errors import CurrantdealError


class OrganisationsError(CurrantdealError):
    """Base class of the errors of this package."""


class InvalidOrganisationsError(OrganisationsError):
    """The organisations of a configuration contradict each other."""

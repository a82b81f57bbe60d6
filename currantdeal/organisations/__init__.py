"""Organisations: the keys of their callers, and the quotas they share.

Pure decisions without network or time; the entries and the control instances
call them.
"""

from currantdeal.organisations.check import check_organisations
from currantdeal.organisations.errors import (
    InvalidOrganisationsError,
    OrganisationsError,
)
from currantdeal.organisations.freshness import ViewFreshness
from currantdeal.organisations.keys import KeyTable, digest_key
from currantdeal.organisations.records import Organisation, Quota, QuotaUnit

__all__ = [
    "InvalidOrganisationsError",
    "KeyTable",
    "Organisation",
    "OrganisationsError",
    "Quota",
    "QuotaUnit",
    "ViewFreshness",
    "check_organisations",
    "digest_key",
]

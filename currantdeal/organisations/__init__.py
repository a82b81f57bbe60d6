"""Organisations: the keys of their callers, and the quotas they share.

Pure decisions without network or time; the entries and the control instances
call them.
"""

from currantdeal.organisations.check import check_organisations
from currantdeal.organisations.credit import CreditOwner
from currantdeal.organisations.credit_bounds import (
    CreditBounds,
    QuotaMargin,
    bounds_of,
)
from currantdeal.organisations.credit_messages import CreditAsk, CreditGrant
from currantdeal.organisations.credit_pool import CreditPool
from currantdeal.organisations.errors import (
    InvalidOrganisationsError,
    OrganisationsError,
)
from currantdeal.organisations.freshness import ViewFreshness
from currantdeal.organisations.keys import KeyTable, digest_key
from currantdeal.organisations.records import (
    LimitedService,
    Organisation,
    Quota,
    QuotaUnit,
    RetryAllowance,
)
from currantdeal.organisations.urgency_share import UrgencyShare

__all__ = [
    "CreditAsk",
    "CreditBounds",
    "CreditGrant",
    "CreditOwner",
    "CreditPool",
    "InvalidOrganisationsError",
    "KeyTable",
    "LimitedService",
    "Organisation",
    "OrganisationsError",
    "Quota",
    "QuotaMargin",
    "QuotaUnit",
    "RetryAllowance",
    "UrgencyShare",
    "ViewFreshness",
    "bounds_of",
    "check_organisations",
    "digest_key",
]

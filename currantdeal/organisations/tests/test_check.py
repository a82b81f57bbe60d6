import pytest

from currantdeal.organisations import (
    InvalidOrganisationsError,
    check_organisations,
)
from currantdeal.organisations.tests.builders import a_quota, an_organisation


@pytest.mark.parametrize(
    "organisations",
    [
        (an_organisation("bakery"), an_organisation("mill")),
        (an_organisation("bakery", keys=("secret", "secret")),),
        (an_organisation("bakery"), an_organisation("bakery", keys=("b",))),
        (an_organisation("bad\r\nname"),),
        (an_organisation(""),),
        (an_organisation("mill", quota=a_quota(rate_per_s=-1.0)),),
        (an_organisation("mill", quota=a_quota(burst=float("nan"))),),
    ],
)
def test_contradictory_organisations_are_invalid(organisations):
    with pytest.raises(InvalidOrganisationsError) as caught:
        check_organisations(organisations)
    assert organisations[-1].name.strip()[:3] in str(caught.value)
    assert "secret" not in str(caught.value)


def test_organisations_with_keys_of_their_own_are_valid():
    check_organisations(
        (
            an_organisation("bakery", keys=("a", "b"), quota=a_quota()),
            an_organisation("mill", keys=("c",)),
            an_organisation("farm", keys=()),
        )
    )

"""What the replicated state allows this instance to do at present."""

from currantdeal.core import Role
from currantdeal.serving.errors import Reason, not_run
from currantdeal.state import Eligibility, work_class

LEASE_RETRY_S = 1.0
"""When a caller should come back to an instance without a lease.

A cut that heals lets the lease be renewed within a renewal or two; until
then other instances serve.
"""


class ServingView:
    """Upstreams that may serve work, under a lease that is checked.

    Parameters
    ----------
    state : StatePort
        The replicated state.
    """

    def __init__(self, *, state):
        """Keep the state; eligibility is computed when first asked for."""
        self._state = state
        self._eligibility = Eligibility(state=state.view())

    def check_lease(self):
        """Raise a refusal when the view may not guide new work.

        An instance that was cut off still knows upstreams that operators
        have withdrawn since; one would notice by work arriving there
        seconds after the withdrawal was accepted.
        """
        if self._state.lease_remaining_s() <= 0:
            raise not_run(
                "this instance is cut off from the others",
                reason=Reason.NO_LEASE,
                retry_after_s=LEASE_RETRY_S,
            )

    def may_serve(self, work, role, upstream):
        """Return whether an upstream is still allowed for the work."""
        return upstream in self._allowed(work, role)

    def candidates(self, work, role):
        """Return the upstreams allowed for the work, or raise a refusal."""
        found = self._allowed(work, role)
        if found:
            return found
        if not self._is_known(work.target):
            raise not_run(
                f"no upstream serves {work.target!r}",
                reason=Reason.UNKNOWN_TARGET,
            )
        raise not_run(
            f"no selector lets an upstream serve {work.target!r} "
            f"as {role.value}",
            reason=Reason.NO_MATCHING_UPSTREAM,
        )

    def models(self):
        """Return the names of the models that engines have loaded."""
        return tuple(
            sorted(
                {
                    target
                    for record in self._state.view().upstreams.values()
                    if record.present
                    and Role.SERVICE not in record.upstream.roles
                    for target in record.upstream.targets
                }
            )
        )

    def _allowed(self, work, role):
        state = self._state.view()
        eligibility = self._eligibility
        if eligibility.version != state.version:
            eligibility = Eligibility(state=state)
            self._eligibility = eligibility
        return eligibility.allowed(work_class(work, role))

    def _is_known(self, target):
        return any(
            target in record.upstream.targets
            for record in self._state.view().upstreams.values()
        )

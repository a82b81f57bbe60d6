"""Selects the upstreams that this instance may use for a request.

They follow from the replicated state, which may guide new work only while the
instance holds a lease.
"""

from currantdeal.core import Role
from currantdeal.serving.errors import Reason, not_run
from currantdeal.state import Eligibility, work_class

LEASE_RETRY_S = 1.0
"""Retry delay that an instance without a lease returns to callers.

Once a network partition ends, the lease is renewed within one or two renewal
intervals; until then other instances serve.
"""


class ServingView:
    """Eligible upstreams according to the replicated state.

    Parameters
    ----------
    state : StatePort
        The replicated state.
    """

    def __init__(self, *, state):
        """Store the state and its current eligibility."""
        self._state = state
        self._eligibility = Eligibility(state=state.view())

    def check_lease(self):
        """Raise ``RefusedError`` if this instance holds no valid lease.

        The state of a partitioned instance may still contain upstreams that
        operators have withdrawn.  Without the check they would receive work
        seconds after the withdrawal was accepted.
        """
        if self._state.lease_remaining_s() <= 0:
            raise not_run(
                "this instance holds no valid lease; it may be partitioned "
                "from the others",
                reason=Reason.NO_LEASE,
                retry_after_s=LEASE_RETRY_S,
            )

    def may_serve(self, work, role, upstream):
        """Return whether an upstream is still eligible for the work."""
        return upstream in self._allowed(work, role)

    def candidates(self, work, role):
        """Return the upstreams eligible for the work.

        Raises
        ------
        RefusedError
            If there are none.
        """
        allowed = self._allowed(work, role)
        if allowed:
            return allowed
        if not self._is_known(work.target):
            raise not_run(
                f"no upstream serves {work.target!r}",
                reason=Reason.UNKNOWN_TARGET,
            )
        raise not_run(
            f"no selector allows an upstream to serve {work.target!r} "
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

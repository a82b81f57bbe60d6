"""Log lines and metrics of the requests of an entry, as they end."""

import structlog

from currantdeal.node.connection_end import ConnectionEnd

MAX_LABELLED_ORGANISATIONS = 64
"""Number of organisations with metrics of their own."""

_log = structlog.get_logger(__name__)


def kind_of(outcome):
    """Return the kind of an outcome, which is a label of metrics.

    Examples
    --------
    >>> kind_of("refused: no memory")
    'refused'
    """
    return outcome.partition(":")[0]


class RequestLog:
    """Log lines and metrics of the requests of an entry.

    Parameters
    ----------
    context : EntryContext
        Shared by all requests.
    """

    def __init__(self, *, context):
        """Start without labels of organisations."""
        self._context = context
        self._labelled = set()

    def describe_cancelled(self, responder):
        """Count a cancelled request; returns its outcome."""
        end = responder.connection_end or ConnectionEnd.LOCAL
        self._context.metrics.add("requests_cancelled_total", why=end.value)
        return f"cancelled: {end.description}"

    def record_untaken(self, request_id, size_bytes, end):
        """Log an answer that was written, but not taken as a whole.

        Parameters
        ----------
        size_bytes : int
            Bytes that the caller has not acknowledged, about.
        end : ConnectionEnd
            Why its connection ended.
        """
        self._context.metrics.add("answers_untaken_total", why=end.value)
        _log.info(
            "answer-untaken",
            request=request_id,
            untaken_bytes=size_bytes,
            why=end.description,
        )

    def record_credit(self, active, units, outcome, started_s):
        """Count a request for credit of a quota, and its wait."""
        labels = {
            "organisation": self._label(active.organisation.name),
            "priority": str(active.route.priority),
        }
        metrics = self._context.metrics
        metrics.add("quota_requests_total", outcome=outcome, **labels)
        metrics.add("quota_units_total", units, outcome=outcome, **labels)
        waited_s = self._context.now_s - started_s
        metrics.observe("quota_wait_seconds", waited_s, **labels)

    def record_end(self, active, outcome):
        """Log and count a request that has ended."""
        now_s = self._context.now_s
        took_s = now_s - active.request.arrived_s
        kind = kind_of(outcome)
        metrics = self._context.metrics
        metrics.add("requests_total", route=active.route.name, outcome=kind)
        if active.organisation is not None:
            metrics.add(
                "organisation_requests_total",
                organisation=self._label(active.organisation.name),
                outcome=kind,
            )
        reason = active.break_reason
        if reason is not None:
            metrics.add("answers_broken_off_total", reason=reason.value)
        if active.search.outcome:
            metrics.add(
                "memory_waits_total",
                route=active.route.name,
                organisation=self._label(active.organisation_name),
                outcome=active.search.outcome,
            )
        if active.first_output_s is not None:
            first_s = active.first_output_s - active.request.arrived_s
            metrics.observe("first_output_seconds", first_s)
            metrics.observe("longest_pause_seconds", active.longest_pause_s)
        else:
            first_s = None
        _log.info(
            "request-ended",
            request=active.call.request_id,
            route=active.route.name,
            service=active.service.name,
            organisation=active.organisation and active.organisation.name,
            outcome=outcome,
            broken_off=reason and reason.value,
            took=round(took_s, 4),
            first=None if first_s is None else round(first_s, 4),
            longest_pause=round(active.longest_pause_s, 4),
            target=active.route.target_s,
            pause_target=active.route.gap_target_s,
            patience=active.call.caller_timeout_s,
            timeout=active.route.timeout_s,
            returned=active.is_retry,
            prompt_tokens=active.call.prompt_tokens,
            search=str(active.search),
            retries=active.arrivals.retries,
            charged=active.arrivals.charged,
            steps=[str(step) for step in active.steps],
            version=active.version,
            view_age=self._context.view.age_s,
        )

    def _label(self, organisation):
        """Return the label of an organisation in metrics."""
        if len(self._labelled) < MAX_LABELLED_ORGANISATIONS:
            self._labelled.add(organisation)
        return organisation if organisation in self._labelled else "other"

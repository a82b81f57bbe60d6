"""Answers HTTP calls of callers, upstreams and operators."""

from functools import singledispatchmethod

import structlog

from currantdeal.core.errors import DialectError
from currantdeal.node.dialect import (
    Announce,
    CheckReadiness,
    GetConfig,
    Leave,
    LookUpEntries,
    PutConfig,
)
from currantdeal.node.directory_answers import answer_look_up, answer_status
from currantdeal.node.messages import ProposeConfigCall
from currantdeal.registry import UpstreamState
from currantdeal.routing import InvalidConfigError, check_config

_JSON = (b"content-type", b"application/json")
_log = structlog.get_logger(__name__)


class ControlOperations:
    """Handles the calls that a control instance receives over HTTP.

    Parameters
    ----------
    dialect : currantdeal.node.dialect.ControlDialect
        Formats of the calls.
    config : ConfigAccess
        Changes and reads the configuration.
    exchange : RecordExchange
        The records of upstreams and entries.
    has_leader : callable
        Returns whether this instance is in contact with the leader.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        dialect,
        config,
        exchange,
        has_leader,
        clock,
    ):
        """Store the parts that carry out the calls."""
        self._dialect = dialect
        self._config = config
        self._exchange = exchange
        self._has_leader = has_leader
        self._clock = clock

    async def handle(self, request, responder):
        """Answer one HTTP call of a caller, an upstream or an operator."""
        try:
            operation = self._dialect.read_operation(request.head)
            if operation is None:
                self._answer(responder, 404, "no such call")
                return
            await self._handle_operation(operation, request, responder)
        except DialectError as exc:
            _log.info("call-refused", target=request.head.target, why=str(exc))
            self._answer(responder, 400, str(exc))

    @singledispatchmethod
    async def _handle_operation(self, operation, request, responder):
        raise TypeError(f"not an operation: {operation!r}")

    @_handle_operation.register
    async def _(self, operation: CheckReadiness, request, responder):
        self._answer(responder, 200, "ready")

    @_handle_operation.register
    async def _(self, operation: LookUpEntries, request, responder):
        addresses = self._exchange.directory.choose(
            operation.region,
            operation.data_center,
            now_s=self._clock(),
            current=self._has_leader(),
        )
        answer_look_up(self._dialect, responder, addresses)

    @_handle_operation.register
    async def _(self, operation: Announce, request, responder):
        record = self._dialect.read_announcement(
            operation.upstream, request.body
        )
        if not self._exchange.is_configured(record):
            reason = f"service {record.service!r} is not configured"
            _log.info("announcement-refused", name=record.upstream, why=reason)
            self._answer(responder, 404, reason)
            return
        changed = self._exchange.merge_upstream(record)
        leaving = record.state is not UpstreamState.READY
        if changed or leaving:
            # After an acknowledged leave, entries send work to the upstream
            # for a bounded time only.  So a majority must have the record
            # first, from which all entries receive it.
            confirmed = await self._exchange.spread(upstreams=(record,))
            if leaving and not confirmed:
                self._answer(responder, 503, "not confirmed by a majority")
                return
        responder.answer(200, (_JSON,), b"{}")

    @_handle_operation.register
    async def _(self, operation: Leave, request, responder):
        gone = self._exchange.leave(operation.upstream)
        if gone is None:
            # Entries may send work to an upstream that is unknown here, and
            # there would be no record to tell them.  The refusal makes it
            # retry, here or at another instance.
            self._answer(
                responder, 503, "it is not known which incarnation leaves"
            )
            return
        if not await self._exchange.spread(upstreams=(gone,)):
            self._answer(responder, 503, "not confirmed by a majority")
            return
        responder.answer(200, (_JSON,), b"{}")

    @_handle_operation.register
    async def _(self, operation: PutConfig, request, responder):
        config = self._dialect.read_config(request.body)
        try:
            check_config(config)
        except InvalidConfigError as exc:
            _log.info("config-refused", version=config.version, why=str(exc))
            self._answer(responder, 400, str(exc))
            return
        call = ProposeConfigCall(version=config.version, raw=request.body)
        accepted = await self._config.propose(call)
        _log.info("config-offered", version=config.version, accepted=accepted)
        if accepted:
            responder.answer(200, (_JSON,), b"{}")
        else:
            self._answer(
                responder, 503, "outcome unknown: the change can be retried"
            )

    @_handle_operation.register
    async def _(self, operation: GetConfig, request, responder):
        answer = await self._config.read()
        if not answer.certain:
            self._answer(
                responder, 503, "the newest version cannot be determined"
            )
        elif not answer.version:
            self._answer(responder, 404, "there is no configuration yet")
        else:
            responder.answer(200, (_JSON,), answer.raw)

    def _answer(self, responder, status, reason):
        answer_status(self._dialect, responder, status, reason)

"""Serves callers' look-ups of entries over HTTP."""

from currantdeal.core.errors import DialectError
from currantdeal.node.dialect import LookUpEntries
from currantdeal.node.directory_answers import answer_look_up, answer_status
from currantdeal.node.http_server import HttpServer
from currantdeal.node.settings import split_address


class DirectoryServer:
    """Answers look-ups at an address of its own.

    Parameters
    ----------
    dialect : currantdeal.node.dialect.ControlDialect
        Format of look-ups.
    directory : CallerDirectory
        Chooses the entries.
    """

    def __init__(self, *, dialect, directory):
        """Store the parts; ``start`` listens."""
        self._dialect = dialect
        self._directory = directory
        self._server = HttpServer(handler=self.handle)

    async def start(self, address):
        """Listen at an address; an empty one is not served."""
        if address:
            await self._server.start(*split_address(address))

    async def handle(self, request, responder):
        """Answer one look-up."""
        try:
            operation = self._dialect.read_operation(request.head)
        except DialectError as exc:
            answer_status(self._dialect, responder, 400, str(exc))
            return
        if not isinstance(operation, LookUpEntries):
            answer_status(self._dialect, responder, 404, "no such call")
            return
        addresses = self._directory.choose(
            operation.region, operation.data_center
        )
        answer_look_up(self._dialect, responder, addresses)

"""Small HTTP server that the stand-ins share."""

import select
import socket
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import msgspec

from currantdeal.testing.errors import RefusedError

POLL_S = 0.05


class StandInServer(ThreadingHTTPServer):
    """HTTP/1.1 server with a thread for each connection.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to listen on; port 0 picks a free one.
    handler : type
        Subclass of ``StandInHandler``.
    app : object
        Given to every handler as ``self.app``.
    """

    daemon_threads = True
    request_queue_size = 256

    def __init__(self, *, address, handler, app):
        """Bind the listener."""
        host, _, port = address.rpartition(":")
        self.app = app
        super().__init__((host, int(port)), handler)

    @property
    def bound_address(self):
        """``IP:PORT`` that the listener is bound to."""
        host, port = self.server_address[:2]
        return f"{host}:{port}"

    def handle_error(self, request, client_address):
        """Say nothing: that callers go away is part of the tests."""


class StandInHandler(BaseHTTPRequestHandler):
    """Reads JSON, answers JSON, and turns refusals into answers."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    @property
    def app(self):
        """What the stand-in is."""
        return self.server.app

    def log_message(self, *args):
        """Log nothing."""

    def read_body(self):
        """Return the body's bytes."""
        length = int(self.headers.get("Content-Length") or 0)
        return self.rfile.read(length)

    def read_json(self, cls):
        """Return the body as a value of a class."""
        try:
            return msgspec.json.decode(self.read_body(), type=cls)
        except msgspec.MsgspecError as exc:
            raise RefusedError(400, "bad-request", str(exc)) from exc

    def send_json(self, value, status=200):
        """Answer a value as JSON."""
        self.send_bytes(msgspec.json.encode(value), status=status)

    def send_bytes(self, body, *, status=200, content_type="application/json"):
        """Answer bytes with their length."""
        self.send_response(status)
        self.send_header("Content-Type", content_type)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)

    def send_refusal(self, error):
        """Answer a refusal."""
        body = {"error": error.name, "message": str(error)}
        self.send_json(body, status=error.status)

    def hold_while(self, condition):
        """Send nothing for as long as a condition holds and the peer stays.

        Returns
        -------
        bool
            True when the peer is still there.
        """
        while condition():
            if self.peer_left():
                self.close_connection = True
                return False
            time.sleep(POLL_S)
        return True

    def peer_left(self):
        """Return whether the other side closed the connection."""
        readable, _, _ = select.select([self.connection], [], [], 0)
        if not readable:
            return False
        try:
            return self.connection.recv(1, socket.MSG_PEEK) == b""
        except OSError:
            return True

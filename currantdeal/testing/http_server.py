"""Provide the HTTP server that the stand-ins share."""

import select
import socket
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import msgspec

from currantdeal.testing.errors import RefusedError

POLL_INTERVAL_S = 0.05


class StandInServer(ThreadingHTTPServer):
    """HTTP/1.1 server with a thread for each connection.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to listen on; port 0 selects a free port.
    handler : type
        Subclass of ``StandInHandler``.
    app : object
        State of the stand-in; available to handlers as ``self.app``.
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
        """Print nothing, because tests disconnect callers on purpose."""


class StandInHandler(BaseHTTPRequestHandler):
    """Handler with helpers for JSON requests, responses and refusals."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    @property
    def app(self):
        """State of the stand-in."""
        return self.server.app

    def log_message(self, *args):
        """Suppress the access log."""

    def read_body(self):
        """Return the request body as bytes."""
        length = int(self.headers.get("Content-Length") or 0)
        return self.rfile.read(length)

    def read_json(self, cls):
        """Return the JSON request body as a value of a class."""
        try:
            return msgspec.json.decode(self.read_body(), type=cls)
        except msgspec.MsgspecError as exc:
            raise RefusedError(400, "bad-request", str(exc)) from exc

    def send_json(self, value, status=200):
        """Send a response with a JSON body."""
        self.send_bytes(msgspec.json.encode(value), status=status)

    def send_bytes(self, body, *, status=200, content_type="application/json"):
        """Send a response with a body and its length."""
        self.send_response(status)
        self.send_header("Content-Type", content_type)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)

    def send_refusal(self, error):
        """Send a ``RefusedError`` as a JSON response."""
        body = {"error": error.name, "message": str(error)}
        self.send_json(body, status=error.status)

    def block_while(self, condition):
        """Send nothing while a condition holds and the peer is connected.

        Returns
        -------
        bool
            False if the peer closed the connection meanwhile.
        """
        while condition():
            if self.peer_closed():
                self.close_connection = True
                return False
            time.sleep(POLL_INTERVAL_S)
        return True

    def peer_closed(self):
        """Return whether the peer closed the connection."""
        readable, _, _ = select.select([self.connection], [], [], 0)
        if not readable:
            return False
        try:
            return self.connection.recv(1, socket.MSG_PEEK) == b""
        except OSError:
            return True

"""Sends requests as a caller of the system, for tests and the quickstart."""

from dataclasses import dataclass

import msgspec
import urllib3

from currantdeal.testing.errors import HarnessError
from currantdeal.testing.shapes import CALLER_KEY

TIMEOUT_S = 60.0
MODEL = "nube-assistant"


@dataclass(frozen=True, kw_only=True)
class Entry:
    """An address that callers should use."""

    address: str
    region: str


@dataclass(frozen=True, kw_only=True)
class Entries:
    """Answer of ``/v1/entries``; valid for ``keep_s`` seconds."""

    entries: tuple[Entry, ...]
    keep_s: float


@dataclass(frozen=True, kw_only=True)
class Answer:
    """An answer that is not streamed.

    Parameters
    ----------
    body : bytes
        Complete body.
    """

    status: int
    body: bytes

    def json(self):
        """Return the decoded body."""
        return msgspec.json.decode(self.body)

    @property
    def outcome(self):
        """Outcome that a refusal reports; empty for other answers."""
        try:
            return self.json().get("outcome", "")
        except (msgspec.DecodeError, AttributeError):
            return ""


@dataclass(frozen=True, kw_only=True)
class StreamedCompletion:
    """A streamed completion as its caller received it."""

    text: str
    finish_reason: str
    done: bool


class CallerClient:
    """Sends the requests of a caller to one address.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of an instance.
    key : str
        The caller's key; empty to send none.
    model : str
        Model of the completions.
    """

    def __init__(self, *, address, key=CALLER_KEY, model=MODEL):
        """Open no connection yet."""
        self._address = address
        self._model = model
        self._headers = {"Content-Type": "application/json"}
        if key:
            self._headers["Authorization"] = f"Bearer {key}"
        self._pool = urllib3.PoolManager(
            retries=False, timeout=TIMEOUT_S, maxsize=32
        )

    @property
    def address(self):
        """Address that requests are sent to."""
        return self._address

    def entries(self):
        """Return the entries that callers should use."""
        answer = self.call("GET", "/v1/entries")
        return msgspec.json.decode(answer.body, type=Entries)

    def call(self, method, path, *, body=b"", headers=None):
        """Send a request and return the complete answer."""
        try:
            answer = self._request(method, path, body, headers)
        except urllib3.exceptions.HTTPError as exc:
            raise HarnessError(f"{self._address}{path}: {exc}") from exc
        return Answer(status=answer.status, body=answer.data)

    def order(self, key, body, *, service="shop", path="/orders"):
        """Send an order with an idempotency key."""
        return self.call(
            "POST",
            f"/services/{service}{path}",
            body=body,
            headers={"Idempotency-Key": key},
        )

    def complete(self, prompt, *, max_tokens=200, headers=None):
        """Return a completion that is not streamed."""
        body = _completion_body(self._model, prompt, max_tokens, stream=False)
        return self.call("POST", "/v1/completions", body=body, headers=headers)

    def open_stream(self, prompt, *, max_tokens=200, headers=None):
        """Return the ``CallerStream`` of a completion."""
        body = _completion_body(self._model, prompt, max_tokens, stream=True)
        return self.post_stream("/v1/completions", body, headers=headers)

    def post_stream(self, path, body, *, headers=None):
        """Send a body and return the ``CallerStream`` of the answer."""
        answer = self._request(
            "POST", path, body, headers, preload_content=False
        )
        if answer.status != 200:
            raise HarnessError(f"{answer.status}: {answer.data!r}")
        return CallerStream(answer=answer)

    def stream(self, prompt, **options):
        """Return a streamed completion once it has ended."""
        return self.open_stream(prompt, **options).read()

    def _request(self, method, path, body, headers, **options):
        return self._pool.request(
            method,
            f"http://{self._address}{path}",
            body=body,
            headers=self._headers | (headers or {}),
            **options,
        )


class CallerStream:
    """A streamed completion that is being received.

    Parameters
    ----------
    answer : urllib3.HTTPResponse
        Answer whose body has not been read.
    """

    def __init__(self, *, answer):
        """Read nothing yet."""
        self._answer = answer
        self._texts = []
        self._finish_reason = ""
        self._done = False
        self._events = self._read_events()

    @property
    def texts(self):
        """Pieces of text received so far."""
        return tuple(self._texts)

    def read_some(self, pieces):
        """Read until a number of pieces of text have been received."""
        while len(self._texts) < pieces and self._read_event():
            pass
        return self.texts

    def read(self):
        """Read to the end and return the completion."""
        try:
            while self._read_event():
                pass
        except urllib3.exceptions.HTTPError as exc:
            raise HarnessError(f"the stream was interrupted: {exc}") from exc
        return StreamedCompletion(
            text="".join(self._texts),
            finish_reason=self._finish_reason,
            done=self._done,
        )

    def disconnect(self):
        """Close the connection in the middle of the answer."""
        self._answer.close()

    def _read_event(self):
        event = next(self._events, None)
        if event is None:
            return False
        for choice in event.get("choices", ()):
            text = choice.get("text") or choice.get("delta", {}).get("content")
            if text:
                self._texts.append(text)
            self._finish_reason = (
                choice.get("finish_reason") or self._finish_reason
            )
        return True

    def _read_events(self):
        for line in self._answer:
            if not line.startswith(b"data: "):
                continue
            data = line[len(b"data: ") :].strip()
            if data == b"[DONE]":
                self._done = True
                return
            yield msgspec.json.decode(data)


def _completion_body(model, prompt, max_tokens, *, stream):
    return msgspec.json.encode(
        {
            "model": model,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": stream,
        }
    )

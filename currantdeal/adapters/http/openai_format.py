"""Encodes answers in the format of the OpenAI API."""

from dataclasses import dataclass
from functools import cached_property

import msgspec

from currantdeal.core import WorkKind

DONE_EVENT = b"data: [DONE]\n\n"


@dataclass(frozen=True, kw_only=True)
class AnswerFormat:
    """Encodes the answer to one request.

    Parameters
    ----------
    answer_id : str
        Identifier of the answer.
    kind : WorkKind
        Chat or completion.
    model : str
        The requested model.
    created : int
        Time of the answer, in seconds since the epoch.
    """

    answer_id: str
    kind: WorkKind
    model: str
    created: int

    def full_answer(self, completion):
        """Return a complete answer as JSON bytes."""
        choice = {"index": 0, "logprobs": None}
        choice["finish_reason"] = completion.finish_reason
        if self.kind is WorkKind.CHAT:
            choice["message"] = {
                "role": "assistant",
                "content": completion.text,
                "refusal": None,
            }
        else:
            choice["text"] = completion.text
        usage = _usage(completion.prompt_tokens, completion.output_tokens)
        return msgspec.json.encode(
            {**self._head(self._object_type), "choices": [choice]} | usage
        )

    def first_event(self):
        """Return the first event of a stream, empty for a completion."""
        if self.kind is not WorkKind.CHAT:
            return b""
        delta = {"role": "assistant", "content": ""}
        return self._event([self._chunk_choice(delta, None)])

    def text_event(self, text):
        """Return the event for a text fragment."""
        # Only the text is encoded for each token; the bytes around it are
        # prepared once per stream, which keeps the cost of a token low.
        start, end = self._text_event_frame
        return start + msgspec.json.encode(text) + end

    def last_events(self, finish_reason, *, usage=None):
        """Return the last events of a stream.

        Parameters
        ----------
        usage : tuple of int or None
            Numbers of prompt and output tokens, if requested by the caller.
        """
        choice = self._chunk_choice({}, finish_reason)
        if self.kind is not WorkKind.CHAT:
            choice = _text_choice("", finish_reason)
        events = self._event([choice])
        if usage is not None:
            events += self._event([], **_usage(*usage))
        return events + DONE_EVENT

    @cached_property
    def _text_event_frame(self):
        placeholder = "\x00"
        choice = self._chunk_choice({"content": placeholder}, None)
        if self.kind is not WorkKind.CHAT:
            choice = _text_choice(placeholder, None)
        event = self._event([choice])
        start, _, end = event.partition(msgspec.json.encode(placeholder))
        return start, end

    @property
    def _object_type(self):
        if self.kind is WorkKind.CHAT:
            return "chat.completion"
        return "text_completion"

    def _head(self, kind):
        return {
            "id": self.answer_id,
            "object": kind,
            "created": self.created,
            "model": self.model,
        }

    def _event(self, choices, **more):
        kind = self._object_type
        if self.kind is WorkKind.CHAT:
            kind = "chat.completion.chunk"
        message = {**self._head(kind), "choices": choices, **more}
        return event_of(message)

    def _chunk_choice(self, delta, finish_reason):
        return {
            "index": 0,
            "delta": delta,
            "logprobs": None,
            "finish_reason": finish_reason,
        }


def event_of(message):
    """Return a server-sent event with a message encoded as JSON."""
    return b"data: " + msgspec.json.encode(message) + b"\n\n"


def _text_choice(text, finish_reason):
    return {
        "index": 0,
        "text": text,
        "logprobs": None,
        "finish_reason": finish_reason,
    }


def _usage(prompt_tokens, output_tokens):
    return {
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": output_tokens,
            "total_tokens": prompt_tokens + output_tokens,
        }
    }

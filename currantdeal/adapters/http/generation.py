"""Endpoints of the OpenAI API."""

from currantdeal.adapters.http.errors import bad_request
from currantdeal.adapters.http.messages import JSON, Response, json_response
from currantdeal.adapters.http.openai_format import AnswerFormat, event_of
from currantdeal.adapters.http.openai_messages import (
    DEFAULT_MAX_TOKENS,
    ChatBody,
    CompletionBody,
)
from currantdeal.adapters.http.problems import problem_of_refusal
from currantdeal.adapters.settings import KeyKind
from currantdeal.core import WorkKind, prefix_keys
from currantdeal.serving.errors import CallerGoneError, RefusedError
from currantdeal.serving.prompts import estimate_tokens
from currantdeal.serving.requests import GenerationRequest

EVENT_STREAM = "text/event-stream; charset=utf-8"
_STREAM_HEADERS = (
    ("Content-Type", EVENT_STREAM),
    ("Cache-Control", "no-store"),
)


class GenerationEndpoints:
    """Chat completions, completions and the list of models.

    Parameters
    ----------
    service : GenerationService
        Serves the requests.
    view : ServingView
        Knows the models.
    intake : Intake
        Builds work.
    in_flight : InFlight
        Bounds requests.
    clock : Clock
        Dates answers.
    """

    def __init__(self, *, service, view, intake, in_flight, clock):
        """Keep the parts."""
        self._service = service
        self._view = view
        self._intake = intake
        self._in_flight = in_flight
        self._clock = clock

    def register(self, routes):
        """Add the endpoints."""
        kind = KeyKind.CALLER
        routes.add("POST", "/v1/chat/completions", self.chat, kind=kind)
        routes.add("POST", "/v1/completions", self.completion, kind=kind)
        routes.add("GET", "/v1/models", self.models, kind=kind)

    def chat(self, request):
        """Answer ``POST /v1/chat/completions``."""
        body = request.json(ChatBody)
        prompt = "\n".join(_message_text(each) for each in body.messages)
        tokens = body.max_completion_tokens or body.max_tokens
        return self._answer(request, body, WorkKind.CHAT, prompt, tokens)

    def completion(self, request):
        """Answer ``POST /v1/completions``."""
        body = request.json(CompletionBody)
        prompt = body.prompt
        if isinstance(prompt, list):
            if len(prompt) != 1:
                raise bad_request("exactly one prompt is supported")
            prompt = prompt[0]
        return self._answer(
            request, body, WorkKind.COMPLETION, prompt, body.max_tokens
        )

    def models(self, request):
        """Answer ``GET /v1/models``."""
        data = [
            {
                "id": name,
                "object": "model",
                "created": 0,
                "owned_by": "currantdeal",
            }
            for name in self._view.models()
        ]
        return json_response({"object": "list", "data": data})

    def _answer(self, request, body, kind, prompt, max_tokens):
        if body.n not in (None, 1):
            raise bad_request("n: only one choice is supported")
        work = self._intake.work(
            request,
            kind=kind,
            target=body.model,
            prompt_tokens=estimate_tokens(prompt),
            max_output_tokens=max_tokens or DEFAULT_MAX_TOKENS,
            prefix_keys=prefix_keys(prompt),
        )
        wanted = GenerationRequest(work=work, prompt=prompt, gone=request.gone)
        style = AnswerFormat(
            answer_id=f"{_ID_PREFIX[kind]}-{work.request_id}",
            kind=kind,
            model=body.model,
            created=int(self._clock.wall_s()),
        )
        end = self._in_flight.begin()
        try:
            if body.stream:
                return self._streamed(wanted, style, body, end)
            completion = self._service.complete(wanted)
        except BaseException:
            end()
            raise
        end()
        return Response(
            headers=(("Content-Type", JSON),), body=style.whole(completion)
        )

    def _streamed(self, wanted, style, body, end):
        stream = self._service.open(wanted)
        options = body.stream_options
        return Response(
            headers=_STREAM_HEADERS,
            body=EventBody(
                stream=stream,
                style=style,
                with_usage=bool(options and options.include_usage),
                end=end,
            ),
        )


class EventBody:
    """Body of a streamed answer; closing it frees what the stream holds.

    A class rather than a generator, because a generator that was never
    started does not run its ``finally``: engine memory would stay held for
    a caller who hung up before the first event.

    Parameters
    ----------
    stream : OutputStream
        The output.
    style : AnswerFormat
        How events are written.
    with_usage : bool
        Whether the last event tells the number of tokens.
    end : callable
        Called once when the body is closed.
    """

    def __init__(self, *, stream, style, with_usage, end):
        """Send nothing yet."""
        self._stream = stream
        self._style = style
        self._with_usage = with_usage
        self._end = end

    def __iter__(self):
        """Yield the events."""
        if first := self._style.first_event():
            yield first
        text_event = self._style.text_event
        try:
            for chunk in self._stream:
                if chunk.finish_reason:
                    yield self._last(chunk)
                    return
                yield text_event(chunk.text)
        except RefusedError as exc:
            # Part of the answer is out, so the status cannot tell of the
            # failure; the event does, and no end marker follows it.
            yield event_of(problem_of_refusal(exc))
        except CallerGoneError:
            return

    def close(self):
        """Free what the stream holds."""
        self._stream.close()
        self._end()

    def _last(self, chunk):
        usage = None
        if self._with_usage:
            usage = (self._stream.prompt_tokens, self._stream.output_tokens)
        return self._style.last_events(chunk.finish_reason, usage=usage)


_ID_PREFIX = {WorkKind.CHAT: "chatcmpl", WorkKind.COMPLETION: "cmpl"}


def _message_text(message):
    content = message.content or ""
    if isinstance(content, list):
        if any(part.type != "text" for part in content):
            raise bad_request("messages: only text content is supported")
        content = "".join(part.text for part in content)
    return f"{message.role}: {content}"

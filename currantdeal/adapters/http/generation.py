"""Endpoints of the OpenAI API."""

from currantdeal.adapters.http.errors import bad_request
from currantdeal.adapters.http.messages import (
    BROKEN_OFF,
    JSON,
    Response,
    json_response,
)
from currantdeal.adapters.http.openai_format import AnswerFormat, event_of
from currantdeal.adapters.http.openai_messages import (
    DEFAULT_MAX_TOKENS,
    ChatBody,
    CompletionBody,
)
from currantdeal.adapters.http.problems import problem_of_refusal
from currantdeal.adapters.settings import KeyKind
from currantdeal.core import WorkKind, prefix_keys
from currantdeal.serving.errors import CallerDisconnectedError, RefusedError
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
        Lists the models.
    intake : Intake
        Builds the work of requests.
    in_flight : InFlight
        Counts requests in flight and limits their number.
    clock : Clock
        Source of the time of creation of answers.
    """

    def __init__(self, *, service, view, intake, in_flight, clock):
        """Store the collaborators."""
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
        generation_request = GenerationRequest(
            work=work, prompt=prompt, is_disconnected=request.is_disconnected
        )
        answer_format = AnswerFormat(
            answer_id=f"{_ID_PREFIX[kind]}-{work.request_id}",
            kind=kind,
            model=body.model,
            created=int(self._clock.wall_s()),
        )
        end = self._in_flight.begin()
        try:
            if body.stream:
                return self._stream_response(
                    generation_request,
                    answer_format,
                    body,
                    end=end,
                    break_off=lambda: request.environ.setdefault(
                        BROKEN_OFF, True
                    ),
                )
            completion = self._service.complete(generation_request)
        except BaseException:
            end()
            raise
        end()
        return Response(
            headers=(("Content-Type", JSON),),
            body=answer_format.full_answer(completion),
        )

    def _stream_response(
        self, generation_request, answer_format, body, *, end, break_off
    ):
        stream = self._service.open(generation_request)
        options = body.stream_options
        return Response(
            headers=_STREAM_HEADERS,
            body=EventBody(
                stream=stream,
                answer_format=answer_format,
                with_usage=bool(options and options.include_usage),
                end=end,
                break_off=break_off,
            ),
        )


class EventBody:
    """Body of a streamed answer; closing it frees the engine memory held.

    This is a class and not a generator, because a generator that was never
    started does not run its ``finally`` block: engine memory would leak if
    the caller disconnected before the first event.

    Parameters
    ----------
    stream : OutputStream
        Output of the engine.
    answer_format : AnswerFormat
        Encodes the events.
    with_usage : bool
        Whether the last event contains the numbers of tokens.
    end : callable
        Called once when the body is closed.
    break_off : callable
        Called before the end of a body that is not complete.
    """

    def __init__(self, *, stream, answer_format, with_usage, end, break_off):
        """Store the stream; nothing is sent before iteration."""
        self._stream = stream
        self._answer_format = answer_format
        self._with_usage = with_usage
        self._end = end
        self._break_off = break_off

    def __iter__(self):
        """Yield the events."""
        if first := self._answer_format.first_event():
            yield first
        text_event = self._answer_format.text_event
        try:
            for chunk in self._stream:
                if chunk.finish_reason:
                    yield self._final_events(chunk)
                    return
                yield text_event(chunk.text)
        except RefusedError as exc:
            # Part of the answer has been sent, so the HTTP status cannot
            # report the failure.  This event reports it, and no end marker
            # follows.
            self._break_off()
            yield event_of(problem_of_refusal(exc))
        except CallerDisconnectedError:
            self._break_off()

    def close(self):
        """Close the stream and free the memory it holds."""
        self._stream.close()
        self._end()

    def _final_events(self, chunk):
        usage = None
        if self._with_usage:
            usage = (self._stream.prompt_tokens, self._stream.output_tokens)
        return self._answer_format.last_events(
            chunk.finish_reason, usage=usage
        )


_ID_PREFIX = {WorkKind.CHAT: "chatcmpl", WorkKind.COMPLETION: "cmpl"}


def _message_text(message):
    content = message.content or ""
    if isinstance(content, list):
        if any(part.type != "text" for part in content):
            raise bad_request("messages: only text content is supported")
        content = "".join(part.text for part in content)
    return f"{message.role}: {content}"

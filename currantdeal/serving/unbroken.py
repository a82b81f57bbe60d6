"""The output of one request, also when its decode engine dies.

What the caller has is not sent again: another engine generates the output
anew, and it goes on behind the part that is out.  That part has to come out
the same, since the end of another answer would make no sense behind it; an
engine that samples may differ, and then the stream ends with an error, which
is the truth.
"""

from itertools import islice

from xxhash import xxh3_64

from currantdeal.core import Outcome, UpstreamError
from currantdeal.serving.errors import Reason, RefusedError


class UnbrokenStream:
    """Output tokens of one request, from one engine after the other.

    Parameters
    ----------
    attempts : Attempts
        Opens another stream where the last one broke.
    stream : OutputStream
        The first one, whose first output has arrived.
    """

    def __init__(self, *, attempts, stream):
        """Take over the stream."""
        self._attempts = attempts
        self._stream = stream
        self._sent = 0
        self._sent_text = xxh3_64()

    @property
    def prompt_tokens(self):
        """Measured length of the prompt, in tokens."""
        return self._stream.prompt_tokens

    @property
    def output_tokens(self):
        """Number of output tokens received so far."""
        return self._stream.output_tokens

    def __iter__(self):
        """Yield the chunks.

        Raises
        ------
        RefusedError
            When the output cannot be completed.
        """
        while True:
            try:
                yield from self._rest()
                return
            except UpstreamError as exc:
                failure = exc
            self._stream.close()
            self._stream = self._attempts.restart(failure)

    def close(self):
        """Free what the engine holds."""
        self._stream.close()

    def _rest(self):
        chunks = iter(self._stream)
        self._skip_sent(chunks)
        for chunk in chunks:
            if not chunk.finish_reason:
                self._sent += 1
                self._sent_text.update(chunk.text.encode())
            yield chunk

    def _skip_sent(self, chunks):
        again = xxh3_64()
        for chunk in islice(chunks, self._sent):
            again.update(chunk.text.encode())
        if again.digest() != self._sent_text.digest():
            raise RefusedError(
                "the engine was lost, and another one answers differently",
                reason=Reason.UPSTREAM_FAILED,
                outcome=Outcome.FAILED,
            )

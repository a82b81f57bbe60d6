"""Continues the output of a request when its decode engine fails.

Another engine generates the output from the start, and the part that was
already sent to the caller is skipped.  The skipped part must be identical to
the sent one, since otherwise the rest would belong to a different answer.
An engine that samples may generate a different text; the stream then ends
with an error.
"""

from itertools import islice

from xxhash import xxh3_64

from currantdeal.core import Outcome, UpstreamError
from currantdeal.serving.errors import Reason, RefusedError


class FailoverStream:
    """Output tokens of one request, with failover between engines.

    Parameters
    ----------
    attempts : Attempts
        Opens a new stream after one that failed.
    stream : OutputStream
        The first stream, whose first output has arrived.
    """

    def __init__(self, *, attempts, stream):
        """Take ownership of the stream, which ``close`` closes."""
        self._attempts = attempts
        self._stream = stream
        self._sent_chunks = 0
        self._sent_text = xxh3_64()

    @property
    def prompt_tokens(self):
        """Length of the prompt in tokens, as counted by the engine."""
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
            If the output cannot be completed.
        """
        while True:
            try:
                yield from self._unsent_chunks()
                return
            except UpstreamError as exc:
                failure = exc
            self._stream.close()
            self._stream = self._attempts.restart(failure)

    def close(self):
        """Free the engine's memory."""
        self._stream.close()

    def _unsent_chunks(self):
        chunks = iter(self._stream)
        self._skip_sent(chunks)
        for chunk in chunks:
            if not chunk.finish_reason:
                self._sent_chunks += 1
                self._sent_text.update(chunk.text.encode())
            yield chunk

    def _skip_sent(self, chunks):
        skipped_text = xxh3_64()
        for chunk in islice(chunks, self._sent_chunks):
            skipped_text.update(chunk.text.encode())
        if skipped_text.digest() != self._sent_text.digest():
            raise RefusedError(
                "the decode engine failed, and its replacement generated a "
                "different answer",
                reason=Reason.UPSTREAM_FAILED,
                outcome=Outcome.FAILED,
            )

"""Encodes typed messages for storage on disk and for sending to peers.

A message is written in MessagePack as the name of its class and its fields, so
that a reader can tell which class to construct.  Only registered classes are
decoded.

Examples
--------
>>> from currantdeal.core import Codec, Label
>>> codec = Codec(classes=(Label,))
>>> codec.decode(codec.encode(Label(name="tier", value="gold")))
Label(name='tier', value='gold')
"""

import msgspec

from currantdeal.core.errors import CodecError

DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)
"""Errors of ``msgspec`` for bytes that cannot be decoded.

Values that are nested too deeply raise ``RecursionError``, also where a field
is unknown and skipped.
"""


class Codec:
    """Encodes and decodes a fixed set of frozen data classes.

    Parameters
    ----------
    classes : tuple of type
        The classes that may be decoded, distinguished by their names.

    Raises
    ------
    CodecError
        By ``encode`` for a class that is not registered or a number of more
        than 64 bits, and by ``decode`` for bytes that are not a message of a
        registered class, or are nested too deeply.
    """

    def __init__(self, *, classes):
        """Build one decoder for each class."""
        self._classes = tuple(classes)
        self._decoders = {
            cls.__name__: msgspec.msgpack.Decoder(cls) for cls in classes
        }
        self._envelope = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
        self._encoder = msgspec.msgpack.Encoder()

    @property
    def classes(self):
        """The classes that may be decoded."""
        return self._classes

    def encode(self, message):
        """Return the encoded bytes of a message."""
        name = type(message).__name__
        if name not in self._decoders:
            raise CodecError(f"{name} is not a message of this codec")
        try:
            return self._encoder.encode((name, message))
        except OverflowError as exc:
            raise CodecError(f"{name}: {exc}") from exc

    def decode(self, raw):
        """Return the message decoded from the bytes."""
        try:
            name, body = self._envelope.decode(raw)
            return self._decoders[name].decode(body)
        except (*DECODE_ERRORS, KeyError) as exc:
            raise CodecError(f"undecodable message: {exc}") from exc

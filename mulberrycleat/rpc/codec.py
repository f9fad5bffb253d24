"""MessagePack codec for grpclib: messages are msgspec structs and need no code generator."""

from __future__ import annotations

from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

__all__ = ["MsgpackCodec"]


class MsgpackCodec(CodecBase):
    """Encode msgspec structs as MessagePack."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the encoded message; raise ``TypeError`` if it is not a `message_type`."""
        if not isinstance(message, message_type):
            raise TypeError(f"expected {message_type.__name__}, got {type(message).__name__}")
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the decoded message; raise ``msgspec.DecodeError`` if it is malformed."""
        return msgspec.msgpack.decode(data, type=message_type)

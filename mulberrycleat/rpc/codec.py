"""MessagePack codec for grpclib, so that messages are msgspec structs and need no generator."""

from __future__ import annotations

from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

__all__ = ["MsgpackCodec"]


class MsgpackCodec(CodecBase):
    """Encode msgspec structs as MessagePack."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the encoded message; raises TypeError for one of another type."""
        if not isinstance(message, message_type):
            raise TypeError(f"expected {message_type.__name__}, got {type(message).__name__}")
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the decoded message; raises ``msgspec.ValidationError`` for a malformed one."""
        return msgspec.msgpack.decode(data, type=message_type)

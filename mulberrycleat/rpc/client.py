"""Client for calls between the fleet's processes."""

from __future__ import annotations

from typing import Any

import msgspec
import trio
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from result import Err, Ok, Result
from trio_asyncio import aio_as_trio

from mulberrycleat.core import PeerError, Step
from mulberrycleat.rpc.codec import MsgpackCodec
from mulberrycleat.rpc.server import KEY_HEADER, Method, method_path

__all__ = ["RpcClient"]


class RpcClient:
    """Client of one controller; connects at the first call and again after a lost connection.

    Parameters
    ----------
    address : str
        ``ip:port`` of the controller.
    fleet_key : str
        Key that authenticates calls between the fleet's processes.
    """

    def __init__(self, address: str, fleet_key: str) -> None:
        self._address = address
        self._fleet_key = fleet_key
        self._channel: Channel | None = None

    @property
    def address(self) -> str:
        """``ip:port`` of the controller."""
        return self._address

    def close(self) -> None:
        """Close the connection."""
        if self._channel is not None:
            self._channel.close()
            self._channel = None

    async def call(
        self, method: Method, message: Any, timeout_s: float = 1.0
    ) -> Result[Any, PeerError]:
        """Call `method` with `message` and return the reply, or the error of the call.

        Only the error of a refused connection has ``sent`` False; after any other error, the
        controller may have handled the call.

        Parameters
        ----------
        timeout_s : float
            Maximum time for connecting and for the reply, in seconds.
        """
        channel = self._open()
        stub = UnaryUnaryMethod(channel, method_path(method), method.request, method.reply)
        metadata = {KEY_HEADER: self._fleet_key}
        try:
            with trio.fail_after(timeout_s):
                return Ok(await aio_as_trio(stub)(message, metadata=metadata))
        except trio.TooSlowError:
            return Err(self._error(method, f"no reply in {timeout_s:g} s", sent=True))
        except ConnectionRefusedError as error:
            return Err(self._error(method, str(error), sent=False))
        except GRPCError as error:
            return Err(self._error(method, f"{error.status.name}: {error.message}", sent=True))
        except (OSError, StreamTerminatedError, ProtocolError, msgspec.DecodeError) as error:
            return Err(self._error(method, f"{type(error).__name__}: {error}", sent=True))

    def _open(self) -> Channel:
        if self._channel is None:
            host, _, port = self._address.rpartition(":")
            self._channel = Channel(host, int(port), codec=MsgpackCodec())
        return self._channel

    def _error(self, method: Method, reason: str, sent: bool) -> PeerError:
        return PeerError(Step.CALL, self._address, f"{method.name}: {reason}", sent=sent)

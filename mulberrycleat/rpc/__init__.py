"""Calls between the fleet's own processes, by grpclib with a MessagePack codec."""

from mulberrycleat.rpc.client import RpcClient
from mulberrycleat.rpc.server import Method, RpcHandler, serve_rpc

__all__ = ["Method", "RpcClient", "RpcHandler", "serve_rpc"]

"""Calls between the fleet's processes, using grpclib with a MessagePack codec."""

from mulberrycleat.rpc.client import RpcClient
from mulberrycleat.rpc.server import KEY_HEADER, Method, RpcHandler, is_fleet_key, serve_rpc

__all__ = ["KEY_HEADER", "Method", "RpcClient", "RpcHandler", "is_fleet_key", "serve_rpc"]

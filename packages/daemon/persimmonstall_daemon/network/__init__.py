"""Links between daemons over gRPC."""

from .grpc_network import GrpcNetwork

__all__ = ["GrpcNetwork"]

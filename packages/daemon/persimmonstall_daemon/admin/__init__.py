"""The operators' port: administration calls over gRPC."""

"""Free TCP ports on loopback, for processes and tests that listen."""

import itertools
import os
import socket

LOOPBACK = "127.0.0.1"
FIRST_PORT = 15_000
LAST_PORT = 32_000
PORT_STRIDE = 211
"""Distance between the first ports of processes with successive ids."""


def candidate_ports():
    """Yield ports below the range of ephemeral ports.

    The first port depends on the process id, so that parallel test processes use different ones.
    """
    span = LAST_PORT - FIRST_PORT
    start = os.getpid() * PORT_STRIDE
    for number in itertools.count():
        yield FIRST_PORT + (start + number) % span


PORTS = candidate_ports()


def is_free(port):
    """Whether `port` can be bound."""
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


def free_ports(count):
    """Return `count` TCP ports that are free and were not returned before."""
    return list(itertools.islice(filter(is_free, PORTS), count))

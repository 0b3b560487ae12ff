"""Free TCP ports on loopback, for processes and tests that listen."""

import fcntl
import itertools
import os
import pathlib
import socket
import tempfile
import urllib.parse

LOOPBACK = "127.0.0.1"
FIRST_PORT = 15_000
LAST_PORT = 32_000
BLOCK_PORTS = 100
CONNECT_SECONDS = 0.5
LOCK_FOLDER = "persimmonstall-test-ports"
"""Folder, in the one for temporary files, of the locks of blocks of ports."""

LOCKS = []
"""The open lock files of this process's blocks; they are released when it ends."""


def claim_block():
    """Return the first port of a block that no other process uses while this one runs.

    A port is not free because nobody listens at it right now: a stopped process of another test
    may be about to start there again.
    """
    folder = pathlib.Path(tempfile.gettempdir()) / LOCK_FOLDER
    folder.mkdir(exist_ok=True)
    blocks = range(FIRST_PORT, LAST_PORT, BLOCK_PORTS)
    start = os.getpid() % len(blocks)
    for first in (*blocks[start:], *blocks[:start]):
        lock = (folder / str(first)).open("w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            lock.close()
            continue
        LOCKS.append(lock)
        return first
    raise RuntimeError("other processes use all blocks of ports")


def candidate_ports():
    """Yield ports below the range of ephemeral ports, of this process's blocks."""
    while True:
        first = claim_block()
        yield from range(first, first + BLOCK_PORTS)


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


def accepts_connections(url):
    """Return whether the address of a URL accepts connections."""
    address = urllib.parse.urlsplit(url)
    try:
        socket.create_connection((address.hostname, address.port), CONNECT_SECONDS).close()
    except OSError:
        return False
    return True

"""TCP sockets as every connection of the adapter uses them."""

from __future__ import annotations

import select
import socket
import struct

import trio

KEEPALIVE_IDLE = 1
"""Seconds without traffic before the kernel probes a peer.

A connection that something between the ends has forgotten stays silent for good; only probes (and
the user timeout, where data is on its way) end it. Three probes end it within 3 s, so that what
waits on it (a long poll of the store) is started again while the promises still hold."""

KEEPALIVE_INTERVAL = 1
KEEPALIVE_PROBES = 2

USER_TIMEOUT_MS = 2500
"""Milliseconds for which sent data may stay unacknowledged before the connection is given up."""

RECEIVE_BYTES = 65536
"""Most bytes taken from a socket at once."""


def prepare(sock: trio.socket.SocketType) -> None:
    """Set the options that every connection has."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


async def connect(host: str, port: int) -> trio.socket.SocketType:
    """Open a connection.

    Raises:
        OSError: The other end does not take it.
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        prepare(sock)
        await sock.connect((host, port))
    except BaseException:
        sock.close()
        raise
    return sock


async def listen(host: str, port: int) -> trio.socket.SocketType:
    """Open a listening socket."""
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    await sock.bind((host, port))
    sock.listen(1024)
    return sock


async def send_all(sock: trio.socket.SocketType, data: bytes) -> None:
    """Send every byte.

    Raises:
        OSError: The connection has ended.
    """
    sent = await sock.send(data)
    if sent == len(data):
        return
    view = memoryview(data)
    while sent < len(view):
        sent += await sock.send(view[sent:])


def is_quiet(sock: trio.socket.SocketType) -> bool:
    """Return whether nothing has come on an idle connection: no byte, no end, no error."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN | select.POLLERR | select.POLLHUP)
    return not poll.poll(0)


def reset(sock: trio.socket.SocketType) -> None:
    """Close a connection so that the peer sees a reset, not an ordinary end."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    finally:
        sock.close()

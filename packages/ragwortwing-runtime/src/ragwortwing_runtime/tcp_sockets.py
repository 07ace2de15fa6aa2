"""TCP sockets with the options that all connections of the platform adapter share."""

from __future__ import annotations

import errno
import ipaddress
import os
import select
import socket
import struct

import trio

KEEPALIVE_IDLE_S = 1
"""Seconds without traffic before the kernel sends the first keepalive probe.

If a device on the path drops the state of a connection, the connection stays silent for good. Only
keepalive probes end it, or the user timeout if sent data is unacknowledged. With 1 s of idle time
and two probes 1 s apart, it ends within 3 s. So whatever waits on it (a long poll of the store) can
start again while the system's guarantees still hold."""

KEEPALIVE_INTERVAL_S = 1
"""Seconds between two keepalive probes."""
KEEPALIVE_PROBES = 2
"""Unanswered probes after which the kernel closes the connection."""

USER_TIMEOUT_MS = 2500
"""Milliseconds for which sent data may stay unacknowledged before the connection is closed."""

RECEIVE_BYTES = 65536
"""Maximum number of bytes read from a socket at once."""


SEND_BUFFER_BYTES = 65536
"""Size of the send buffer of an accepted connection. It suffices for 32 MB/s at a round trip of
2 ms. By default a send buffer grows to several MB for each peer that does not read."""

RECEIVE_BUFFER_BYTES = 32768
"""Size of the receive buffer of an accepted connection. By default the kernel receives several MB
for each connection that is not read, and they count toward the memory of the process."""


MAX_PORT = 65535


def is_ipv4_address(host: str) -> bool:
    """Return whether a host is an IPv4 address, for which no name has to be looked up."""
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


def is_socket_address(address: str) -> bool:
    """Return whether a text consists of an IPv4 address and a port.

    Example:
        >>> [is_socket_address(each) for each in ("10.0.0.1:80", "10.0.0.1:0", "a..b:80")]
        [True, False, False]
    """
    host, _, port = address.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    return is_number and 0 < int(port) <= MAX_PORT and is_ipv4_address(host)


def allow_slow_reading(sock: trio.socket.SocketType) -> None:
    """Set the option for a peer that may stop reading, while its own deadline bounds the wait.

    The user timeout also ends the connection of a peer that acknowledges everything but has a full
    receive buffer.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)


def set_socket_options(sock: trio.socket.SocketType) -> None:
    """Set the socket options that all connections use."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


async def connect(host: str, port: int) -> trio.socket.SocketType:
    """Open a connection.

    Raises:
        OSError: The connection could not be established.
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        set_socket_options(sock)
        await sock.connect((host, port))
    except BaseException:
        sock.close()
        raise
    return sock


def limit_buffers(listener: trio.socket.SocketType) -> None:
    """Limit the kernel's buffers of the connections that a socket will accept."""
    # Accepted connections inherit them; a window that was announced can't be reduced later.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


def limit_unread_time(listener: trio.socket.SocketType, seconds: float) -> None:
    """Let the kernel reset accepted connections whose peers take nothing for some time."""
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, max(1, round(seconds * 1000)))


async def listen(host: str, port: int) -> trio.socket.SocketType:
    """Open a listening socket, for connections whose buffers in the kernel are limited."""
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    limit_buffers(sock)
    await sock.bind((host, port))
    sock.listen(1024)
    return sock


def accept_now(listener: trio.socket.SocketType) -> trio.socket.SocketType | None:
    """Accept a connection without waiting; return None if there is none.

    trio accepts one connection in a turn of the event loop, so on a busy loop connections would
    queue up in the kernel.

    Raises:
        OSError: The connection could not be accepted.
    """
    view = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=listener.fileno())
    try:
        sock, _ = view.accept()
    except BlockingIOError:
        return None
    finally:
        view.detach()
    return trio.socket.from_stdlib_socket(sock)


async def send_all(sock: trio.socket.SocketType, data: bytes) -> None:
    """Send all data.

    Raises:
        OSError: The connection is closed or broken.
    """
    sent = await sock.send(data)
    if sent == len(data):
        return
    view = memoryview(data)
    while sent < len(view):
        sent += await sock.send(view[sent:])


def broke_connection(error: OSError) -> bool:
    """Return whether a send failed because the connection broke.

    The kernel reports a reset to one call only; later ones find the end of the stream, as if the
    peer had ended it. After an end by the peer, a send fails with `EPIPE`.
    """
    return error.errno != errno.EPIPE


def send_now(sock: trio.socket.SocketType, data: bytes) -> int:
    """Send what the connection takes without waiting; return the number of bytes sent.

    trio's own `send` always waits until the connection is writable, so it cannot tell whether a
    peer reads.

    Raises:
        OSError: The connection is closed or broken.
    """
    try:
        return os.write(sock.fileno(), data) if data else 0
    except BlockingIOError:
        return 0


def receive_now(sock: trio.socket.SocketType, size: int) -> bytes | None:
    """Return what has been received, at most some bytes; None if there is nothing yet.

    Raises:
        OSError: The connection is broken.
    """
    try:
        return os.read(sock.fileno(), size)
    except BlockingIOError:
        return None


def is_idle(sock: trio.socket.SocketType) -> bool:
    """Return whether an idle connection has no unread data, end of stream or error."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN | select.POLLERR | select.POLLHUP)
    return not poll.poll(0)


def has_hung_up(sock: trio.socket.SocketType) -> bool:
    """Return whether the peer has ended or reset a connection, also behind unread data."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP | select.POLLERR | select.POLLHUP)
    return bool(poll.poll(0))


def reset(sock: trio.socket.SocketType) -> None:
    """Close a connection with a TCP reset instead of an orderly end of stream."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    finally:
        sock.close()

"""Network backend for httpcore that reads from a socket without a timeout for each read.

The backend of httpcore sets a timeout around every read. With one read for each token of each
stream, this took a fifth of the agent's time. Here the caller enforces an idle timeout instead.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import httpcore
import trio

from ragwortwing_runtime.tcp_sockets import broke_connection, send_all

if TYPE_CHECKING:
    import ssl
    from collections.abc import Iterable


class UntimedStream(httpcore.AsyncNetworkStream):
    """A TCP connection that ignores the timeouts of reads and writes."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._socket = stream.socket
        self._break: OSError | None = None
        """Why a write failed if the connection broke."""

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read the available bytes, waiting for the first one without a timeout."""
        try:
            data = await self._socket.recv(max_bytes)
        except (OSError, trio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error)) from error
        if not data and self._break is not None:
            raise httpcore.ReadError(str(self._break)) from self._break
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write the whole buffer, without a timeout.

        After a failure httpcore reads the response that the server may have sent before.
        """
        try:
            await send_all(self._socket, buffer)
        except OSError as error:
            if broke_connection(error):
                self._break = error
            raise httpcore.WriteError(str(error)) from error
        except trio.ClosedResourceError as error:
            raise httpcore.WriteError(str(error)) from error

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Fail: the backend server is on the same machine, so TLS is not supported."""
        raise NotImplementedError

    def get_extra_info(self, info: str) -> Any:
        """Return the socket for `socket`, and None for any other key."""
        return self._socket if info == "socket" else None


class UntimedNetworkBackend(httpcore.AsyncNetworkBackend):
    """Opens connections whose reads and writes have no timeout."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connect within the timeout."""
        try:
            with trio.fail_after(float("inf") if timeout is None else timeout):
                return UntimedStream(await trio.open_tcp_stream(host, port))
        except trio.TooSlowError as error:
            raise httpcore.ConnectTimeout from error
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error

    async def sleep(self, seconds: float) -> None:
        """Sleep between connection attempts of httpcore."""
        await trio.sleep(seconds)

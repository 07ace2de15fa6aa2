"""Network backend of the HTTP library that reads a socket without a timer for each read.

The library's own sets a timer around every read; with a read for each token of each stream that was
a fifth of the agent's time. Here the one who makes the call watches over its silence.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import httpcore
import trio

if TYPE_CHECKING:
    import ssl
    from collections.abc import Iterable


class DirectStream(httpcore.AsyncNetworkStream):
    """One connection."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._socket = stream.socket

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read what is there, waiting for the first byte without a limit."""
        try:
            return await self._socket.recv(max_bytes)
        except (OSError, trio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all of a buffer."""
        try:
            await self._stream.send_all(buffer)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
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
        """Refuse: the backend server is on the same machine."""
        raise NotImplementedError

    def get_extra_info(self, info: str) -> Any:
        """Return the socket where it is asked for, else nothing."""
        return self._socket if info == "socket" else None


class DirectBackend(httpcore.AsyncNetworkBackend):
    """Opens such connections."""

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
                return DirectStream(await trio.open_tcp_stream(host, port))
        except trio.TooSlowError as error:
            raise httpcore.ConnectTimeout from error
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error

    async def sleep(self, seconds: float) -> None:
        """Wait."""
        await trio.sleep(seconds)

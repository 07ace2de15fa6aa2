"""Asks a server, on the connection that a request will use, when its process started."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
import trio

from ragwortwing_policy.decoding import InvalidDataError, checked_decoder

from .http_client import ConnectionLoss, ConnectionLostError

if TYPE_CHECKING:
    from ragwortwing_policy.clock import Clock

    from .http_client import ClientConnection

REPORT_TIMEOUT = 0.2
"""Seconds for the whole answer."""

MAX_REPORT_BYTES = 65_536
"""Maximum bytes of its body."""

STATUS_OK = 200

_decode_report = checked_decoder(msgspec.json.Decoder(dict[str, object]).decode)


@dataclass(frozen=True, slots=True)
class ProcessReport:
    """The call whose answer states when a server's process started."""

    target: str
    """Path of the call, which is a GET without a body."""
    started_at: str
    """Name of the field with the start in Unix ms, at the top level of the JSON answer."""
    id_header: bytes
    """Header of answers to requests. An answer with it is a late one to an earlier request."""

    async def ask(self, connection: ClientConnection, clock: Clock) -> int | None:
        """Return the start of the process at the other end of a connection in Unix ms.

        It is asked once for each connection, which cannot pass to another process.

        Returns:
            The start; None if the process does not state it.

        Raises:
            ConnectionLostError: There was no complete answer.
        """
        if not connection.peer_was_asked:
            try:
                with trio.fail_after(REPORT_TIMEOUT):
                    found = await self._fetch(connection)
            except trio.TooSlowError as error:
                raise ConnectionLostError("timeout", ConnectionLoss.FAILED) from error
            is_ready = connection.prepare_next_request(clock.monotonic())
            # Another answer may be a late one without an id, and the report be the next to arrive.
            connection.is_over = found is None or not is_ready
            connection.peer_was_asked, connection.peer_started_at = True, found
        return connection.peer_started_at

    async def _fetch(self, connection: ClientConnection) -> int | None:
        host = [(b"host", connection.address.encode())]
        await connection.send_request("GET", self.target, host, b"")
        head = await connection.receive_head()
        ids = {value.decode("latin-1") for key, value in head.headers if key == self.id_header}
        if ids & connection.request_ids:
            raise ConnectionLostError("an answer to an earlier request")
        body = b""
        async for data in connection.receive_body():
            body += data
            if len(body) > MAX_REPORT_BYTES:
                raise ConnectionLostError("report too long", ConnectionLoss.EXCESSIVE)
        if head.status_code != STATUS_OK:
            return None
        try:
            found = _decode_report(body).get(self.started_at)
        except InvalidDataError:
            return None
        return found if type(found) is int else None

"""Batching of response chunks into frames for an entry."""

from __future__ import annotations

from datetime import timedelta

import trio
import trio.testing

from ragwortwing_agent.agent_request import AgentRequest
from ragwortwing_agent.entry_peer import EntryPeer
from ragwortwing_policy.outcomes import Completed
from ragwortwing_policy.reservations import Reservation
from ragwortwing_wire.messages import Chunks, End, Reserve, ResponseHead, Submit


class RecordingConnection:
    closed = None

    def __init__(self) -> None:
        self.sent = []

    async def send(self, message) -> None:
        self.sent.append(message)


def running_request(request_id: str, peer: EntryPeer) -> AgentRequest:
    reserve = Reserve(request_id, "chat", "acc", "m", timedelta(seconds=1))
    request = AgentRequest(reserve, Reservation(request_id, "chat", "acc", "m", 1.0), peer)
    request.advance("grant")
    request.accept_submit(Submit(request_id, "POST", "/", (), b"", window=100))
    request.advance("submit")
    return request


async def test_chunks_of_one_engine_step_share_a_frame() -> None:
    connection = RecordingConnection()
    peer = EntryPeer(connection)
    requests = [running_request(str(index), peer) for index in range(5)]

    async def read_step(request: AgentRequest) -> None:
        request.add_head(200, ())
        request.add_chunk(b"x", 1)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(peer.pump)
        for _ in range(2):
            async with trio.open_nursery() as readers:
                for request in requests:
                    readers.start_soon(read_step, request)
            await trio.testing.wait_all_tasks_blocked()
        requests[0].end(Completed(2), now=1.0)
        await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()
    frames = [each for each in connection.sent if isinstance(each, Chunks)]
    assert [len(each.chunks) for each in frames] == [5, 5]
    assert [type(each) for each in connection.sent[:5]] == [ResponseHead] * 5
    assert connection.sent[-1] == End("0", 2, Completed(2))

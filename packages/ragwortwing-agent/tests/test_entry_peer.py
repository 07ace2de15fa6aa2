"""What leaves for an entry in one frame."""

from __future__ import annotations

from datetime import timedelta

import trio
import trio.testing

from ragwortwing_agent.agent_request import AgentRequest
from ragwortwing_agent.entry_peer import EntryPeer
from ragwortwing_policy.outcomes import Completed
from ragwortwing_policy.reservations import Reservation
from ragwortwing_wire.messages import Chunks, End, Reserve, ResponseHead, Submit


class Recorder:
    closed = None

    def __init__(self) -> None:
        self.sent = []

    async def send(self, message) -> None:
        self.sent.append(message)


def running_request(request_id: str, peer: EntryPeer) -> AgentRequest:
    reserve = Reserve(request_id, "chat", "acc", "m", timedelta(seconds=1))
    request = AgentRequest(reserve, Reservation(request_id, "chat", "acc", "m", 1.0), peer)
    request.advance("grant")
    request.take_body(Submit(request_id, "POST", "/", (), b"", window=100))
    request.advance("submit")
    return request


async def test_step_of_an_engine_leaves_in_one_frame() -> None:
    connection = Recorder()
    peer = EntryPeer(connection)
    requests = [running_request(str(index), peer) for index in range(5)]

    async def read_step(request: AgentRequest) -> None:
        request.add_head(200, ())
        request.add_piece(b"x", 1)

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

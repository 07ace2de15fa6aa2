"""Tests of the entry towards callers: valid and invalid calls, outcomes, disconnects, shutdown."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

import msgspec
import pytest
import trio
from entry_bench import CHAT, CHAT_PATH, running_entry

from ragwortwing_entry.answers import KEEP_ALIVE_COMMENT
from ragwortwing_policy.outcomes import (
    Completed,
    Failed,
    FailedReason,
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
)
from ragwortwing_policy.routing import BackendKind
from ragwortwing_runtime.app import ABORTED_REQUESTS_EXIT_CODE
from ragwortwing_runtime.members import MemberState
from ragwortwing_wire.messages import (
    Attach,
    ConfigurationRecord,
    ConfigurationRecords,
    ConfigurationRequest,
    End,
    Heartbeat,
    Refused,
    Reserve,
    Withdraw,
)

if TYPE_CHECKING:
    from entry_bench import Bench

JSON_TYPE = {"content-type": "application/json"}
KEY = {"authorization": "Bearer suva-key"}


def event(text: str) -> bytes:
    data = msgspec.json.encode({"choices": [{"delta": {"content": text}}]})
    return b"data: " + data + b"\n\n"


async def read_all(parts: Any) -> bytes:
    return b"".join([part async for part in parts]).replace(KEEP_ALIVE_COMMENT, b"")


async def read_until(parts: Any, wanted: bytes) -> None:
    data = b""
    while wanted not in data:
        data += await parts.__anext__()


async def test_answer_is_streamed_with_final_outcome_event(bench: Bench) -> None:
    agent = await bench.add_agent("agent-1")
    async with trio.open_nursery() as nursery:

        async def serve() -> None:
            submit = await agent.grant()
            assert submit.path == CHAT_PATH
            data = event("Bula ") + event("vinaka") + b"data: [DONE]\n\n"
            await agent.answer(submit.request_id, data)

        nursery.start_soon(serve)
        async with bench.stream() as parts:
            body = await read_all(parts)
    assert body.startswith(event("Bula ") + event("vinaka") + b"event: outcome\n")
    assert body.count(b"data: [DONE]\n\n") == 1
    assert b'"type":"completed"' in body


async def test_record_of_unstreamed_answer_has_agent_and_token_count(bench: Bench) -> None:
    """The record of an unstreamed answer must keep its agent and token count after the end.

    The entry cannot count the tokens of such an answer, so the agent reports the number.
    """
    agent = await bench.add_agent("agent-1")
    async with trio.open_nursery() as nursery:

        async def serve() -> None:
            submit = await agent.grant()
            await agent.answer(submit.request_id, b"{}", outcome=Completed(7))

        nursery.start_soon(serve)
        response = await bench.call("POST", CHAT_PATH, CHAT | {"stream": False})
    request_id = response.headers["x-request-id"]
    record = (await bench.call("GET", f"/requests/{request_id}", listener="operator")).json()
    assert (record["agent"].partition("/")[0], record["tokens"]) == ("agent-1", 7)


@pytest.mark.parametrize(
    ("method", "path", "headers", "body", "status", "code"),
    [
        ("POST", CHAT_PATH, KEY | JSON_TYPE, b"{", 400, "malformed_json"),
        ("POST", CHAT_PATH, KEY | JSON_TYPE, b'{"model": "\xff"}', 400, "malformed_json"),
        ("POST", CHAT_PATH, KEY | JSON_TYPE, CHAT | {"stream": "yes"}, 400, "invalid_body"),
        ("POST", CHAT_PATH, KEY | JSON_TYPE, {"model": "writer"}, 400, "invalid_body"),
        ("POST", CHAT_PATH, KEY | JSON_TYPE, CHAT | {"messages": []}, 400, "invalid_body"),
        ("POST", CHAT_PATH, KEY | JSON_TYPE, CHAT | {"priority": 0}, 400, "reserved_key"),
        ("POST", CHAT_PATH, KEY | JSON_TYPE, CHAT | {"resume": None}, 400, "reserved_key"),
        ("POST", CHAT_PATH, JSON_TYPE, CHAT, 401, "unauthenticated"),
        ("POST", CHAT_PATH, JSON_TYPE | {"authorization": "Bearer x"}, CHAT, 401, None),
        ("POST", CHAT_PATH, KEY | JSON_TYPE | {"x-request-class": "draft"}, CHAT, 403, None),
        ("POST", CHAT_PATH, KEY | JSON_TYPE, CHAT | {"model": "x"}, 404, "unknown_model"),
        ("POST", CHAT_PATH, KEY | JSON_TYPE, b" " * 10_001, 413, "body_too_large"),
        ("POST", CHAT_PATH, KEY, CHAT, 415, "unsupported_content_type"),
        ("POST", CHAT_PATH, KEY | JSON_TYPE | {"x-a": "a" * 5_000}, CHAT, 431, None),
        ("GET", CHAT_PATH, KEY, b"", 405, "method_not_allowed"),
        ("GET", "/nothing", KEY, b"", 404, "unknown_path"),
        ("GET", "/status", KEY, b"", 404, "unknown_path"),
        ("GET", "/v1/models", {}, b"", 401, "unauthenticated"),
        ("DELETE", "/desk/orders", KEY, b"", 405, "method_not_allowed"),
        ("GET", "/desk/nothing", KEY, b"", 404, "unknown_path"),
        ("POST", "/desk/orders", {"authorization": "Bearer nadi-key"}, b"", 403, None),
        ("POST", "/desk/orders", KEY | {"x-order-time": "noon"}, b"", 400, "invalid_header"),
        ("POST", "/desk/orders", KEY | {"idempotency-key": "a" * 201}, b"", 400, None),
    ],
)
async def test_invalid_call_is_rejected_with_status_and_code(
    bench: Bench,
    method: str,
    path: str,
    headers: dict[str, str],
    body: Any,
    status: int,
    code: str | None,
) -> None:
    response = await bench.call(method, path, body, headers)
    assert response.status == status
    error = response.json()["error"]
    assert response.headers["x-ragwortwing-outcome"] == error["type"] == "not_run"
    assert response.headers["x-ragwortwing-reason"] == error["code"]
    assert code is None or error["code"] == code


@pytest.mark.parametrize(
    ("outcome", "status", "kind"),
    [
        (NotRun(NotRunReason.OVERLOADED), 503, "not_run"),
        (NotRun(NotRunReason.KEY_REUSED), 409, "not_run"),
        (NotRun(NotRunReason.RATE_LIMITED), 429, "not_run"),
        (Unknown(UnknownReason.NO_RECORDED_OUTCOME), 504, "unknown"),
        (Failed(FailedReason.BACKEND_ERROR, 500), 502, "failed"),
    ],
)
async def test_outcome_reported_by_agent_reaches_caller(
    bench: Bench, outcome: Any, status: int, kind: str
) -> None:
    agent = await bench.add_agent("agent-1", BackendKind.SERVICE, "desk")
    async with trio.open_nursery() as nursery:

        async def refuse() -> None:
            reserve = await agent.next(Reserve)
            assert reserve.order_key == "cake-7"
            assert not reserve.idempotent
            await agent.send(Refused(reserve.request_id, outcome))

        nursery.start_soon(refuse)
        response = await bench.call("POST", "/desk/orders", {}, KEY | {"idempotency-key": "cake-7"})
    assert response.status == status
    assert response.headers["x-ragwortwing-outcome"] == kind
    assert response.headers["x-ragwortwing-reason"] == outcome.reason


async def test_request_without_agent_is_refused_with_retry_delay(bench: Bench) -> None:
    response = await bench.call("POST", CHAT_PATH, CHAT)
    assert response.status == 503
    assert response.headers["x-ragwortwing-reason"] == "no_backend"
    assert response.headers["retry-after"] == "2"
    assert response.json()["error"]["retry_after_ms"] == 2_000


async def test_class_not_admitted_by_preset_is_refused(bench: Bench) -> None:
    assert bench.feed.current is not None
    bench.feed.current = replace(bench.feed.current, preset="maintenance")
    response = await bench.call("POST", CHAT_PATH, CHAT)
    assert response.headers["x-ragwortwing-reason"] == "shed_by_preset"


async def test_account_over_concurrency_limit_is_refused(bench: Bench) -> None:
    """Guards against requests of an account that run beyond its concurrency limit."""
    assert bench.feed.current is not None
    account = replace(bench.feed.current.accounts_by_name["suva"], concurrency=1)
    bench.feed.current = replace(bench.feed.current, accounts_by_name={"suva": account})
    agent = await bench.add_agent("agent-1")
    async with bench.stream():
        await agent.next(Reserve)
        response = await bench.call("POST", CHAT_PATH, CHAT)
    assert response.status == 429
    assert response.headers["x-ragwortwing-reason"] == "concurrency_limited"


async def test_response_of_plain_service_keeps_its_status(bench: Bench) -> None:
    agent = await bench.add_agent("agent-1", BackendKind.SERVICE, "desk")
    async with trio.open_nursery() as nursery:

        async def serve() -> None:
            submit = await agent.grant()
            assert (submit.method, submit.path) == ("GET", "/orders/7?full=1")
            await agent.answer(submit.request_id, b"{}", status=404)

        nursery.start_soon(serve)
        response = await bench.call("GET", "/desk/orders/7?full=1")
    assert (response.status, response.body) == (404, b"{}")
    assert response.headers["x-ragwortwing-outcome"] == "completed"


async def test_disconnect_of_caller_withdraws_request(bench: Bench) -> None:
    """Guards against an engine slot that stays occupied after the caller disconnects mid-answer."""
    agent = await bench.add_agent("agent-1")
    host, port = bench.listen["http"].split(":")
    stream = await trio.open_tcp_stream(host, int(port))
    body = msgspec.json.encode(CHAT)
    head = (
        f"POST {CHAT_PATH} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer suva-key\r\n"
        f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
    )
    await stream.send_all(head.encode() + body)
    submit = await agent.grant()
    await agent.chunk(submit.request_id, 0, event("Bula"))
    await stream.receive_some()
    await stream.aclose()
    assert (await agent.next(Withdraw)).request_id == submit.request_id
    await bench.wait_until(lambda: not bench.app.journal.in_flight)
    record = bench.app.journal.get(submit.request_id)
    assert record is not None
    assert (record.outcome, record.reason) == ("failed", "caller_gone")


async def test_answer_continues_after_reconnect_to_agent(bench: Bench) -> None:
    """Guards against lost or duplicated text when the connection to the agent breaks mid-answer.

    The agent and its engine continue. The entry reconnects and reattaches after the last chunk it
    received; a repeated chunk must not be delivered twice.
    """
    agent = await bench.add_agent("agent-1")
    async with trio.open_nursery() as nursery:

        async def serve() -> None:
            submit = await agent.grant()
            await agent.chunk(submit.request_id, 0, event("one "))
            await bench.wait_until(lambda: bench.app.journal.get(submit.request_id).tokens)
            await agent.cut()
            attach = await agent.next(Attach)
            assert (attach.request_id, attach.sequence) == (submit.request_id, 1)
            await agent.chunk(submit.request_id, 0, event("one "))
            await agent.chunk(submit.request_id, 1, event("two"))
            await agent.send(End(submit.request_id, 2))

        nursery.start_soon(serve)
        async with bench.stream() as parts:
            body = await read_all(parts)
    assert body.startswith(event("one ") + event("two") + b"event: outcome")


async def test_answer_resumes_on_another_engine_after_crash(bench: Bench) -> None:
    """Guards against a broken answer when the VM of an engine crashes in the middle of an event.

    Another engine continues after the delivered text, and the caller never sees a partial event.
    """
    agents = [await bench.add_agent("agent-1"), await bench.add_agent("agent-2")]
    crashed = trio.Event()

    async def serve(agent: Any) -> None:
        submit = await agent.grant()
        if crashed.is_set():
            assert submit.resume_text == "one "
            await agent.answer(submit.request_id, event("two"))
            return
        crashed.set()
        await agent.chunk(submit.request_id, 0, event("one ") + event("lost")[:9])
        await bench.wait_until(lambda: bench.app.journal.get(submit.request_id).tokens)
        agent.hello = replace(agent.hello, agent_id="replacement/1")
        await agent.cut()

    async with trio.open_nursery() as nursery:
        for agent in agents:
            nursery.start_soon(serve, agent)
        async with bench.stream() as parts:
            body = await read_all(parts)
        nursery.cancel_scope.cancel()
    assert body.startswith(event("one ") + event("two") + b"event: outcome")


async def test_order_on_lost_agent_has_unknown_outcome(bench: Bench) -> None:
    """Guards against running an order twice when its agent is lost.

    Nobody knows whether the order ran, so it must not be sent to another free agent.
    """
    lost = await bench.add_agent("agent-1", BackendKind.SERVICE, "desk")
    async with trio.open_nursery() as nursery:

        async def serve() -> None:
            await lost.grant()
            other = await bench.add_agent("agent-2", BackendKind.SERVICE, "desk")
            lost.hello = replace(lost.hello, agent_id="replacement/1")
            await lost.cut()
            await other.next(Reserve)

        nursery.start_soon(serve)
        response = await bench.call("POST", "/desk/orders", {}, KEY)
        nursery.cancel_scope.cancel()
    assert response.status == 504
    assert response.headers["x-ragwortwing-reason"] == "backend_lost"


async def test_planned_stop_finishes_requests_in_flight() -> None:
    """Guards against a planned shutdown that cuts off answers in progress.

    While draining, readiness reports 503 and new requests are refused.
    """
    async with running_entry() as bench:
        agent = await bench.add_agent("agent-1")
        async with bench.stream() as parts:
            submit = await agent.grant()
            await agent.chunk(submit.request_id, 0, event("one "))
            await read_until(parts, event("one "))
            bench.app.stop()
            await bench.wait_until(lambda: bench.app.requests.draining)
            assert (await bench.call("GET", "/readyz")).status == 503
            refused = await bench.call("POST", CHAT_PATH, CHAT)
            assert refused.headers["x-ragwortwing-reason"] == "draining"
            await agent.chunk(submit.request_id, 1, event("two"))
            await agent.send(End(submit.request_id, 2))
            assert event("two") + b"event: outcome" in await read_all(parts)
        await bench.wait_until(lambda: bench.exit_code is not None)
    assert bench.exit_code == 0


async def test_second_stop_cuts_requests_in_flight() -> None:
    """Guards against a forced stop that waits for requests or hides that it cut them."""
    async with running_entry() as bench:
        agent = await bench.add_agent("agent-1")
        async with bench.stream():
            await agent.grant()
            bench.app.stop()
            await bench.wait_until(lambda: bench.app.requests.draining)
            assert len(bench.app.unfinished()) == 1
            bench.app.stop()
            await bench.wait_until(lambda: bench.exit_code is not None)
    assert bench.exit_code == ABORTED_REQUESTS_EXIT_CODE


async def test_span_continues_trace_of_caller(bench: Bench) -> None:
    agent = await bench.add_agent("agent-1", BackendKind.SERVICE, "desk")
    trace = "0af7651916cd43dd8448eb211c80319c"
    async with trio.open_nursery() as nursery:

        async def serve() -> None:
            submit = await agent.grant()
            assert submit.traceparent.split("-")[1] == trace
            await agent.answer(submit.request_id, b"{}")

        nursery.start_soon(serve)
        headers = KEY | {"traceparent": f"00-{trace}-b7ad6b7169203331-01"}
        await bench.call("GET", "/desk/orders/7", b"", headers)
    await bench.wait_until(lambda: len(bench.app.telemetry.spans))
    (span,) = bench.app.telemetry.spans.take()
    assert f"{span.context.trace_id:032x}" == trace
    assert span.attributes["ragwortwing.outcome"] == "completed"


async def test_entry_and_agent_exchange_missing_configuration_records(bench: Bench) -> None:
    agent = await bench.add_agent("agent-1")
    await agent.send(Heartbeat(1, revision=9))
    assert (await agent.next(ConfigurationRequest)).offset == bench.feed.state.position
    record = ConfigurationRecord(4, b"x")
    await agent.send(ConfigurationRecords((record,)))
    await bench.wait_until(lambda: bench.feed.taken == [record])
    bench.feed.records = (ConfigurationRecord(2, b"y"), record)
    await agent.send(ConfigurationRequest(3))
    assert (await agent.next(ConfigurationRecords)).records == (record,)


async def test_leaving_agent_gets_no_new_requests(bench: Bench) -> None:
    """Guards against new requests to an agent that is about to stop."""
    agent = await bench.add_agent("agent-1")
    bench.members.set(agent.member(MemberState.LEAVING))
    await agent.send(Heartbeat(1, revision=3))
    await bench.wait_until(lambda: bench.app.pool.agents_by_id[agent.hello.agent_id].leaving)
    response = await bench.call("POST", CHAT_PATH, CHAT)
    assert response.headers["x-ragwortwing-reason"] == "no_backend"


async def test_operator_can_read_status_request_and_metrics(bench: Bench) -> None:
    agent = await bench.add_agent("agent-1")
    async with bench.stream():
        submit = await agent.grant()
        seen = (await bench.call("GET", "/status", listener="operator")).json()
        assert (seen["phase"], seen["in_flight"]) == ("serving", 1)
        path = f"/requests/{submit.request_id}"
        record = (await bench.call("GET", path, listener="operator")).json()
        assert (record["account"], record["state"]) == ("suva", "submitted")
        metrics = (await bench.call("GET", "/metrics")).body
        assert b"ragwortwing_requests_in_flight 1.0" in metrics

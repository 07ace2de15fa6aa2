"""Tests of the engine stand-in over loopback HTTP."""

from __future__ import annotations

from contextlib import asynccontextmanager

import httpcore
import msgspec
import pytest
import trio

from ragwortwing_lab.standins.batching import EngineSettings
from ragwortwing_lab.standins.engine import EngineStandIn, serve_engine
from ragwortwing_lab.standins.faults import Fault, FaultKind
from ragwortwing_lab.standins.generation import answer_text

CHAT = "/v1/chat/completions"


@asynccontextmanager
async def running_engine(**settings):
    engine = EngineStandIn(EngineSettings(step_seconds=0.002, **settings), ("cake-1",))
    async with trio.open_nursery() as nursery:
        address = await nursery.start(serve_engine, engine)
        async with httpcore.AsyncConnectionPool() as pool:

            async def call(method: str, path: str, body: object = None) -> tuple[int, bytes]:
                content = body if isinstance(body, bytes) else msgspec.json.encode(body)
                headers = {"x-request-id": "r1"}
                reply = await pool.request(
                    method, f"http://{address}{path}", content=content, headers=headers
                )
                return reply.status, reply.content

            call.address, call.pool = address, pool
            yield engine, call
        nursery.cancel_scope.cancel()


def chat(prompt: str, **fields) -> dict:
    return {"model": "cake-1", "messages": [{"role": "user", "content": prompt}]} | fields


def streamed_text(body: bytes) -> str:
    events = [each[6:] for each in body.split(b"\n\n") if each.startswith(b"data: {")]
    deltas = [msgspec.json.decode(each)["choices"][0]["delta"] for each in events]
    return "".join(each.get("content", "") for each in deltas)


@pytest.mark.parametrize(
    ("body", "status", "code"),
    [
        (b"{", 400, "bad_body"),
        (b'{"model": 1}', 400, "bad_body"),
        ({**chat("x"), "model": "other"}, 404, "model_not_loaded"),
        (chat("x", resume={"text": " wrong", "tokens": 1}), 400, "resume_differs"),
    ],
)
async def test_invalid_chat_requests_are_rejected(body: object, status: int, code: str) -> None:
    async with running_engine() as (_, call):
        got, answer = await call("POST", CHAT, body)
    assert (got, msgspec.json.decode(answer)["error"]["code"]) == (status, code)


async def test_whole_streamed_and_resumed_answers_have_the_same_text() -> None:
    prompt = "a menu [tokens=20]"
    async with running_engine() as (engine, call):
        _, whole = await call("POST", CHAT, chat(prompt))
        _, streamed = await call("POST", CHAT, chat(prompt, stream=True))
        start = answer_text(prompt, 8)
        resumed_body = chat(prompt, stream=True, resume={"text": start, "tokens": 8})
        _, resumed = await call("POST", CHAT, resumed_body)
    message = msgspec.json.decode(whole)["choices"][0]["message"]["content"]
    assert message == streamed_text(streamed) == start + streamed_text(resumed)
    assert message == answer_text(prompt, 20)
    assert streamed.endswith(b"data: [DONE]\n\n")
    assert engine.state()["counts"]["generated_tokens"] == 20 + 20 + 12


async def test_closing_the_connection_cancels_the_generation() -> None:
    """Guards against an engine that keeps generating for a client that has disconnected."""
    async with running_engine() as (engine, call):
        body = msgspec.json.encode(chat("x [tokens=100000]", stream=True))
        async with call.pool.stream(
            "POST", f"http://{call.address}{CHAT}", content=body, headers={"x-request-id": "r1"}
        ) as reply:
            async for data in reply.aiter_stream():
                if b'"content":" ' in data:
                    break
        with trio.fail_after(5):
            while engine.batcher.present_load() != (0, 0):
                await trio.sleep(0.002)
    state = engine.state()
    assert state["cancelled_by_id"] == {"r1": 1}
    assert state["finished_by_id"] == {}
    assert state["counts"]["cancelled_tokens"] >= 1


async def test_request_with_higher_priority_starts_first() -> None:
    async with running_engine(slots=1) as (engine, _):
        started = []
        batcher = engine.batcher
        for request_id, priority in (("first", 5), ("late", 5), ("urgent", 0)):
            batcher.submit(request_id, "x [tokens=3]", priority, None, 0)
        with trio.fail_after(5):
            while len(batcher.finished_by_id) < 3:
                await trio.sleep(0.002)
        started = list(batcher.started_by_id)
    assert started.index("urgent") < started.index("late")


async def test_prefix_cache_hits_and_delayed_or_lost_events() -> None:
    prompt = " ".join(f"w{index}" for index in range(64)) + " [tokens=2]"
    async with running_engine(cache_event_lag=0.0, cache_event_gap=2) as (engine, call):
        await call("POST", CHAT, chat(prompt))
        _, second = await call("POST", CHAT, chat(prompt))
        _, events = await call("GET", "/cache/events?after=0")
        engine.batcher.cache._event_lag = 1000.0
        await call("POST", CHAT, chat("other " + prompt))
        _, later = await call("GET", "/cache/events?after=0")
    usage = msgspec.json.decode(second)["usage"]
    assert usage["prompt_tokens_details"]["cached_tokens"] == 64
    assert [each["sequence"] for each in msgspec.json.decode(events)["events"]] == [1, 3]
    assert later == events


@pytest.mark.parametrize(
    ("fencing", "number", "status"), [(True, 4, 409), (True, 5, 200), (False, 4, 200)]
)
async def test_outdated_fencing_number_is_rejected_only_with_fencing(
    fencing: bool, number: int, status: int
) -> None:
    """Guards against orders from a sender that a newer one has replaced."""
    order = {"kind": "load_model", "target": "cake-2", "fencing_number": 5}
    async with running_engine(fencing=fencing) as (engine, call):
        await call("POST", "/admin/orders", order)
        got, _ = await call("POST", "/admin/orders", {**order, "fencing_number": number})
    assert got == status
    assert "cake-2" in engine.models


async def test_load_report_is_delayed() -> None:
    async with running_engine(load_lag=1000.0) as (engine, call):
        engine.batcher.submit("r1", "x [tokens=100000]", 0, None, 0)
        _, load = await call("GET", "/load")
        assert engine.batcher.present_load() != (0, 0)
    assert msgspec.json.decode(load) == {"running": 0, "queued": 0, "slots": 16}


async def test_request_runs_although_its_reply_is_dropped() -> None:
    """Guards against a fault that skips the request instead of losing its reply."""
    async with running_engine() as (engine, call):
        engine.faults.set(Fault(FaultKind.DROP_REPLIES))
        with pytest.raises(httpcore.RemoteProtocolError):
            await call("POST", CHAT, chat("x [tokens=3]"))
    assert engine.state()["finished_by_id"] == {"r1": 1}


@pytest.mark.parametrize("kind", [FaultKind.FREEZE, FaultKind.SILENT])
async def test_frozen_and_silent_engines_answer_after_the_fault_is_cleared(kind: FaultKind) -> None:
    """Guards against mixing up the two faults: only a frozen engine stops generating."""
    async with running_engine() as (engine, call):
        engine.faults.set(Fault(kind))
        with trio.move_on_after(0.05) as scope:
            await call("POST", CHAT, chat("x [tokens=3]"))
        assert scope.cancelled_caught
        generated = engine.state()["counts"].get("generated_tokens", 0)
        assert generated == (0 if kind is FaultKind.FREEZE else 3)
        engine.faults.clear()
        status, _ = await call("POST", CHAT, chat("x [tokens=3]"))
    assert status == 200

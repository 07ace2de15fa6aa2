"""The agent as a process: settings, ready line, status endpoint and graceful stops."""

from __future__ import annotations

import signal
import sys
from contextlib import asynccontextmanager

import httpcore
import msgspec
import pytest
import tomli_w
import trio

from ragwortwing_lab.processes import python_command, start_process

EXIT_TIMEOUT_SECONDS = 30.0


def settings(**changes) -> dict:
    return {
        "name": "agent-1",
        "zone": "suva",
        "listen": {"wire": "127.0.0.1:0", "http": "127.0.0.1:0"},
        "platform": {"log": "http://127.0.0.1:1"},
        "backend": {"address": "127.0.0.1:1", "kind": "engine", "targets": ["cake-1"]},
    } | changes


@asynccontextmanager
async def running_agent(tmp_path, **changes):
    path = tmp_path / "agent.toml"
    path.write_text(tomli_w.dumps(settings(**changes)))
    command = python_command("ragwortwing_agent", "run", "--settings", str(path))
    process = await start_process("agent-1", command, tmp_path / "agent.log")
    try:
        yield process
    finally:
        if process.handle.poll() is None:
            process.kill()
            await process.wait_exited()


async def call(method: str, url: str, value: object = None) -> dict:
    async with httpcore.AsyncConnectionPool() as pool:
        reply = await pool.request(method, url, content=msgspec.json.encode(value))
    assert reply.status == 200
    return msgspec.json.decode(reply.content)


async def wait_exit_code(process) -> int:
    with trio.fail_after(EXIT_TIMEOUT_SECONDS):
        return await process.handle.wait()


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
async def test_signal_stops_gracefully(tmp_path, number: signal.Signals) -> None:
    async with running_agent(tmp_path) as process:
        status = await call("GET", f"http://{process.listen['http']}/status")
        assert status["phase"] == "serving"
        assert status["agent_id"].startswith("agent-1/")
        process.handle.send_signal(number)
        assert await wait_exit_code(process) == 0


async def test_drain_command_stops_gracefully(tmp_path) -> None:
    async with running_agent(tmp_path) as process:
        command = python_command("ragwortwing_agent", "drain", "--address", process.listen["http"])
        result = await trio.run_process(command, capture_stdout=True)
        assert msgspec.json.decode(result.stdout)["agent_id"].startswith("agent-1/")
        assert await wait_exit_code(process) == 0


async def test_process_is_in_member_list_until_it_stops(tmp_path) -> None:
    command = python_command("ragwortwing_lab", "store")
    store = await start_process("store", command, tmp_path / "store.log")
    state_url = f"http://{store.listen['control']}/state"

    async def list_members() -> list[str]:
        return (await call("GET", state_url))["members"].get("members", [])

    try:
        platform = {"log": f"http://{store.listen['http']}"}
        async with running_agent(tmp_path, platform=platform) as process:
            with trio.fail_after(EXIT_TIMEOUT_SECONDS):
                while not await list_members():
                    await trio.sleep(0.01)
            assert process.listen["wire"] in (await list_members())[0]
            process.handle.send_signal(signal.SIGTERM)
            assert await wait_exit_code(process) == 0
            assert await list_members() == []
    finally:
        store.kill()
        await store.wait_exited()


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"colour": "red"}, "colour"),
        ({"zone": 3}, "zone"),
        ({"backend": {"address": "nowhere", "kind": "engine", "targets": []}}, "backend.address"),
    ],
)
async def test_invalid_settings_are_rejected_with_exit_code_2(tmp_path, changes, key) -> None:
    path = tmp_path / "agent.toml"
    path.write_text(tomli_w.dumps(settings(**changes)))
    result = await trio.run_process(
        [sys.executable, "-m", "ragwortwing_agent", "run", "--settings", str(path)],
        check=False,
        capture_stderr=True,
    )
    assert result.returncode == 2
    assert f"{key}:" in result.stderr.decode()

"""Runs a small site of real processes on this machine, with stand-ins for external services."""

from __future__ import annotations

from collections.abc import Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from importlib import resources
from typing import TYPE_CHECKING, Any

import httpcore
import msgspec
import tomli_w
import trio

from .processes import Process, python_command, start_process

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

CONFIGURATION_FILE = "demo_configuration.toml"
"""Name of the configuration that the demo and the failure tests publish, next to this module."""

MODEL = "menu-writer"
SERVICE = "order-desk"
ZONES = ("suva", "nadi", "lautoka")

KEEPALIVE_SECONDS = 1.0
"""Seconds that an idle connection is kept for reuse.

It is shorter than the idle timeout of the servers. Otherwise a call could be sent on a connection
that the server is just closing.
"""

_JSON_HEADERS = [(b"content-type", b"application/json")]


class SiteNotReadyError(Exception):
    """The configuration could not be published, or an entry was not ready in time."""


@dataclass(frozen=True, slots=True)
class SiteShape:
    """Number of processes of each kind in a site, and their settings."""

    entries: int = 2
    engines: int = 3
    desks: int = 2
    engine_arguments: tuple[str, ...] = ()
    desk_arguments: tuple[str, ...] = ()
    proxied: bool = False
    """Whether the entries reach each agent through a fault-injecting proxy."""
    entry_settings: Mapping[str, Any] = field(default_factory=dict)
    """Tables that are merged into the settings of every entry."""
    agent_settings: Mapping[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class OperatorResult:
    """Exit code and output of an operator command."""

    code: int
    output: str
    errors: str


@dataclass(frozen=True, slots=True)
class Reply:
    """Response to an HTTP call that the lab made."""

    status: int
    body: bytes

    def json(self) -> Any:
        """Return the body decoded from JSON."""
        return msgspec.json.decode(self.body)


class Site:
    """Starts and stops the processes of a site and calls their control addresses."""

    def __init__(self, shape: SiteShape, directory: Path) -> None:
        self.shape = shape
        self.directory = directory
        self.process_by_name: dict[str, Process] = {}
        self._http = httpcore.AsyncConnectionPool(
            max_connections=64, keepalive_expiry=KEEPALIVE_SECONDS
        )

    async def start(self) -> None:
        """Start all processes in dependency order, publish the configuration, await readiness."""
        await self._start_lab_command("store", "store")
        async with trio.open_nursery() as nursery:
            for index in range(self.shape.engines):
                nursery.start_soon(self._start_backend_with_agent, index, "engine")
            for index in range(self.shape.desks):
                nursery.start_soon(self._start_backend_with_agent, index, "desk")
        async with trio.open_nursery() as nursery:
            for index in range(self.shape.entries):
                nursery.start_soon(self.start_entry, index)
        await self.publish(resources.files(__package__) / CONFIGURATION_FILE)
        await self.wait_ready()

    async def stop(self) -> dict[str, int | None]:
        """Stop all processes, first entries, then agents, and return their exit codes by name."""
        codes: dict[str, int | None] = {}

        async def stop_one(process: Process) -> None:
            codes[process.name] = await process.stop()

        for prefixes in (("entry",), ("agent",), ("",)):
            async with trio.open_nursery() as nursery:
                for name, process in self.process_by_name.items():
                    if name.startswith(prefixes) and name not in codes:
                        nursery.start_soon(stop_one, process)
        await self._http.aclose()
        return codes

    def kill_all(self) -> None:
        """Kill all processes of this site that still run."""
        for process in self.process_by_name.values():
            if process.handle.poll() is None:
                process.kill()

    async def start_entry(self, index: int) -> Process:
        """Start or restart an entry."""
        name = f"entry-{index}"
        settings = self._common_settings(name, index) | {"listen": {"http": "127.0.0.1:0"}}
        return await self._start_product(
            name,
            "ragwortwing_entry",
            ("entry", "run"),
            _merged(settings, self.shape.entry_settings),
        )

    async def start_agent(self, kind: str, index: int) -> Process:
        """Start or restart the agent of a backend server that is already running."""
        name = f"agent-{kind}-{index}"
        backend = self.process_by_name[f"{kind}-{index}"].listen["http"]
        is_engine = kind == "engine"
        listen = {"wire": "127.0.0.1:0", "http": "127.0.0.1:0"}
        if self.shape.proxied:
            listen["advertised"] = await self._start_proxy(name)
        settings = self._common_settings(name, index) | {
            "listen": listen,
            "backend": {
                "address": backend,
                "kind": "engine" if is_engine else "service",
                "targets": [MODEL if is_engine else SERVICE],
            },
        }
        process = await self._start_product(
            name, "ragwortwing_agent", ("run",), _merged(settings, self.shape.agent_settings)
        )
        if self.shape.proxied:
            target = msgspec.json.encode({"address": process.listen["wire"]})
            await self.call("PUT", self._control(f"proxy-{name}", "/target"), target)
        return process

    async def start_backend(self, kind: str, index: int, port: int = 0) -> Process:
        """Start a backend server; pass its earlier port to restart it at the same address."""
        command = "engine" if kind == "engine" else "order-desk"
        name = f"{kind}-{index}"
        arguments = ["--name", name, "--port", str(port), "--journal", str(self.journal_path(name))]
        if kind == "engine":
            arguments += ["--model", MODEL, *self.shape.engine_arguments]
        else:
            arguments += self.shape.desk_arguments
        return await self._start_lab_command(name, command, *arguments)

    def journal_path(self, backend_name: str) -> Path:
        """Return the path of the file in which a backend server records its executions."""
        return self.directory / f"{backend_name}.journal"

    async def fault(self, process_name: str, kind: str, **fields: Any) -> Reply:
        """Activate a fault at the control address of a stand-in."""
        body = msgspec.json.encode({"kind": kind, **fields})
        return await self.call("POST", self._control(process_name, "/fault"), body)

    async def clear(self, process_name: str) -> Reply:
        """Clear all faults of a stand-in."""
        return await self.call("DELETE", self._control(process_name, "/fault"))

    async def state(self, process_name: str) -> Any:
        """Return the state that a stand-in reports, such as its counters."""
        return (await self.call("GET", self._control(process_name, "/state"))).json()

    async def call(self, method: str, url: str, body: bytes = b"") -> Reply:
        """Make one HTTP call."""
        headers = _JSON_HEADERS if body else []
        response = await self._http.request(method, url, headers=headers, content=body)
        return Reply(response.status, response.content)

    def entry_url(self, index: int) -> str:
        """Return an entry's base URL."""
        return "http://" + self.process_by_name[f"entry-{index}"].listen["http"]

    @property
    def log_address(self) -> str:
        """Address of the stand-in for the store, as `ip:port`."""
        return self.process_by_name["store"].listen["http"]

    async def operator(self, *arguments: str) -> OperatorResult:
        """Run an operator command against the log of the site."""
        command = python_command("ragwortwing_entry", *arguments, "--log", self.log_address)
        result = await trio.run_process(
            command, capture_stdout=True, capture_stderr=True, check=False
        )
        return OperatorResult(result.returncode, result.stdout.decode(), result.stderr.decode())

    async def publish(self, configuration: Any) -> None:
        """Publish a configuration file with the operator command `config publish`."""
        with resources.as_file(configuration) as path:
            result = await self.operator("config", "publish", str(path), "--preset", "ordinary")
        if result.code != 0:
            raise SiteNotReadyError(result.errors)

    async def wait_ready(self, timeout: float = 30.0) -> None:
        """Wait until every entry accepts requests."""
        with trio.move_on_after(timeout) as scope:
            for index in range(self.shape.entries):
                await self._wait_entry(index)
        if scope.cancelled_caught:
            raise SiteNotReadyError("timed out waiting for all entries to become ready")

    async def _wait_entry(self, index: int) -> None:
        while (await self.call("GET", self.entry_url(index) + "/readyz")).status != 200:
            await trio.sleep(0.05)

    async def _start_backend_with_agent(self, index: int, kind: str) -> None:
        await self.start_backend(kind, index)
        await self.start_agent(kind, index)

    async def _start_lab_command(self, name: str, *arguments: str) -> Process:
        return await self._replace_process(name, python_command("ragwortwing_lab", *arguments))

    async def _start_proxy(self, name: str) -> str:
        """Start a proxy; its target is set later, once the process behind it listens."""
        proxy = await self._start_lab_command(f"proxy-{name}", "proxy")
        return proxy.listen["tcp"]

    async def _start_product(
        self, name: str, module: str, command: tuple[str, ...], settings: Mapping[str, Any]
    ) -> Process:
        path = self.directory / f"{name}.toml"
        path.write_text(tomli_w.dumps(settings))
        return await self._replace_process(
            name, python_command(module, *command, "--settings", str(path))
        )

    async def _replace_process(self, name: str, command: list[str]) -> Process:
        # A proxy keeps running when its agent ends. A restarted agent gets a new proxy of the same
        # name, which replaces the old one in `process_by_name`. Without this kill, the old proxy
        # would keep running after the site has stopped.
        previous = self.process_by_name.get(name)
        if previous is not None and previous.handle.poll() is None:
            previous.kill()
        process = await start_process(name, command, self.directory / f"{name}.log")
        self.process_by_name[name] = process
        return process

    def _common_settings(self, name: str, index: int) -> dict[str, Any]:
        platform = {"log": "http://" + self.log_address}
        return {"name": name, "zone": ZONES[index % len(ZONES)], "platform": platform}

    def _control(self, process_name: str, path: str) -> str:
        return f"http://{self.process_by_name[process_name].listen['control']}{path}"


@asynccontextmanager
async def running_site(shape: SiteShape, directory: Path) -> AsyncIterator[Site]:
    """Start a site and kill all of its processes on exit, also after an error."""
    site = Site(shape, directory)
    try:
        await site.start()
        yield site
    finally:
        site.kill_all()


def _merged(base: dict[str, Any], extra: Mapping[str, Any]) -> dict[str, Any]:
    merged = dict(base)
    for key, value in extra.items():
        inner = merged.get(key)
        merged[key] = _merged(inner, value) if isinstance(inner, dict) else value
    return merged

"""Starts processes of a site on this machine, learns their addresses, and stops them.

Only the lab starts processes; the product never does.
"""

from __future__ import annotations

import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
import trio

if TYPE_CHECKING:
    from collections.abc import Sequence

READY_TIMEOUT = 30.0
"""Seconds a process may take to print its ready line; only a guard against hanging."""

STOP_TIMEOUT = 30.0
"""Seconds a process may take to end after SIGTERM."""

_MAXIMUM_READY_LINE = 65_536


class ProcessFailedError(Exception):
    """A process ended, or said nothing, before it was ready."""

    def __init__(self, name: str, detail: str) -> None:
        super().__init__(f"{name}: {detail}")
        self.name = name
        self.detail = detail


class ReadyLine(msgspec.Struct, frozen=True):
    """What every process prints on standard output once it serves."""

    ready: bool
    name: str
    listen: dict[str, str]


@dataclass(slots=True)
class Process:
    """A started process and the addresses it listens on."""

    name: str
    handle: trio.Process
    log_path: Path
    listen: dict[str, str] = field(default_factory=dict)

    def kill(self) -> None:
        """End the process at once, as a crash would."""
        self.handle.send_signal(signal.SIGKILL)

    def freeze(self) -> None:
        """Stop the process from running, as a long pause would; its sockets stay open."""
        self.handle.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self.handle.send_signal(signal.SIGCONT)

    async def stop(self, timeout: float = STOP_TIMEOUT) -> int | None:
        """Ask for a graceful shutdown and wait for the end.

        Returns:
            The exit code, or None where the process had to be killed.
        """
        if self.handle.poll() is None:
            self.handle.send_signal(signal.SIGTERM)
        with trio.move_on_after(timeout) as scope:
            await self.handle.wait()
        if scope.cancelled_caught:
            self.kill()
            await self.handle.wait()
            return None
        return self.handle.returncode

    async def wait_dead(self) -> None:
        """Wait for the end of a process that was killed."""
        await self.handle.wait()


async def start_process(name: str, command: Sequence[str], log_path: Path) -> Process:
    """Start a process and wait for its ready line.

    Args:
        name: A name for messages.
        command: Program and arguments.
        log_path: File that takes the process's standard error.

    Returns:
        The process, with its addresses.

    Raises:
        ProcessFailedError: If it ends or stays silent before it is ready.
    """
    with log_path.open("ab") as log:
        handle = await trio.lowlevel.open_process(
            list(command), stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=log
        )
    process = Process(name, handle, log_path)
    try:
        with trio.fail_after(READY_TIMEOUT):
            line = await _read_line(handle)
        process.listen = msgspec.json.decode(line, type=ReadyLine).listen
    except (trio.TooSlowError, msgspec.DecodeError) as error:
        if handle.poll() is None:
            handle.kill()
        await handle.wait()
        raise ProcessFailedError(name, _last_lines(log_path)) from error
    return process


def python_command(module: str, *arguments: str) -> list[str]:
    """Return the command that runs one of our modules with this interpreter."""
    return [sys.executable, "-m", module, *arguments]


async def _read_line(handle: trio.Process) -> bytes:
    assert handle.stdout is not None
    line = bytearray()
    while not line.endswith(b"\n") and len(line) < _MAXIMUM_READY_LINE:
        piece = await handle.stdout.receive_some(4096)
        if not piece:
            break
        line += piece
    return bytes(line)


def _last_lines(log_path: Path, count: int = 15) -> str:
    lines = log_path.read_text(errors="replace").splitlines()
    return "\n".join(lines[-count:]) or "no output"

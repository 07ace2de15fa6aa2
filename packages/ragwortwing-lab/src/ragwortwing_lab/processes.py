"""Starts, pauses and stops the local processes of a site and reads their listen addresses.

Only the lab starts processes; the released packages never do.
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
"""Seconds a process may take to print its ready line; only prevents a hang."""

STOP_TIMEOUT = 30.0
"""Seconds a process may take to exit after SIGTERM before it is killed."""

_MAX_READY_LINE_BYTES = 65_536


class ProcessFailedError(Exception):
    """A process exited or timed out before it printed a valid ready line."""

    def __init__(self, name: str, detail: str) -> None:
        super().__init__(f"{name}: {detail}")
        self.name = name
        self.detail = detail


class ReadyLine(msgspec.Struct, frozen=True):
    """JSON line that every process prints to standard output once it accepts connections."""

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
        """Send SIGKILL, which ends the process at once as a crash would."""
        self.handle.send_signal(signal.SIGKILL)

    def freeze(self) -> None:
        """Send SIGSTOP: the process stops running, but its sockets stay open."""
        self.handle.send_signal(signal.SIGSTOP)

    def unfreeze(self) -> None:
        """Send SIGCONT, so that a frozen process runs again."""
        self.handle.send_signal(signal.SIGCONT)

    async def stop(self, timeout: float = STOP_TIMEOUT) -> int | None:
        """Send SIGTERM and wait for the process to exit; kill it after the timeout.

        Returns:
            The exit code, or None if the process had to be killed.
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

    async def wait_exited(self) -> None:
        """Wait until a killed process has exited."""
        await self.handle.wait()


async def start_process(name: str, command: Sequence[str], log_path: Path) -> Process:
    """Start a process and wait until it prints its ready line.

    Args:
        name: Name used in error messages.
        command: Program and arguments.
        log_path: File that the process's standard error is appended to.

    Returns:
        The process with its listen addresses.

    Raises:
        ProcessFailedError: If it exits, times out or prints an invalid ready line.
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
        raise ProcessFailedError(name, last_lines(log_path)) from error
    return process


def python_command(module: str, *arguments: str) -> list[str]:
    """Return the command line that runs a Python module with the current interpreter."""
    return [sys.executable, "-m", module, *arguments]


async def _read_line(handle: trio.Process) -> bytes:
    assert handle.stdout is not None
    line = bytearray()
    while not line.endswith(b"\n") and len(line) < _MAX_READY_LINE_BYTES:
        chunk = await handle.stdout.receive_some(4096)
        if not chunk:
            break
        line += chunk
    return bytes(line)


def last_lines(log_path: Path, count: int = 15) -> str:
    """Return the end of a process's log for an error message."""
    lines = log_path.read_text(errors="replace").splitlines()
    return "\n".join(lines[-count:]) or "no output"

"""Shared code of the operator commands: common options, exit codes and output."""

from __future__ import annotations

import getpass
import sys
import tomllib
from dataclasses import asdict, dataclass
from enum import IntEnum
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

import click
import msgspec
import trio

from ragwortwing_policy.configuration_checks import Fault
from ragwortwing_policy.configuration_log import Accepted, Conflict, Invalid
from ragwortwing_runtime.configuration_publisher import (
    ConfigurationPublisher,
    PublishResult,
    PublishUnknown,
)
from ragwortwing_runtime.platform_services import open_platform
from ragwortwing_runtime.record_log import LogUnavailable
from ragwortwing_runtime.settings import EntrySettings
from ragwortwing_runtime.settings_reader import FaultySettings, read_settings
from ragwortwing_runtime.system_clock import SystemClock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class ExitCode(IntEnum):
    """Exit codes of the operator commands."""

    OK = 0
    REFUSED = 1
    """Another revision is in force than the operator assumed, or the state forbids the change."""
    BAD_INPUT = 2
    """The file or the arguments are invalid."""
    LOG_UNAVAILABLE = 3
    """The log is unavailable; nothing was changed."""
    UNKNOWN = 4
    """It is unknown whether the record was appended; `config history` shows it later."""


@dataclass(frozen=True, slots=True)
class Output:
    """Prints the results and errors of a command, as text or as JSON."""

    as_json: bool

    def show(self, text: str, value: Any) -> None:
        """Print a result."""
        click.echo(msgspec.json.encode(value).decode() if self.as_json else text)

    def fail(self, code: ExitCode, text: str, value: dict[str, Any]) -> NoReturn:
        """Print an error and exit with the given code."""
        if self.as_json:
            click.echo(msgspec.json.encode(value).decode())
        else:
            click.echo(text, err=True)
        sys.exit(code)

    def fail_on_faults(self, faults: tuple[Fault, ...], code: ExitCode) -> NoReturn:
        """Print every fault of a document and exit."""
        listed = [{"path": fault.path, "message": fault.message} for fault in faults]
        text = "\n".join(str(fault) for fault in faults)
        self.fail(code, text, {"result": "invalid", "faults": listed})


def _log_address(context: click.Context, _: click.Parameter, value: str | None) -> str | None:
    settings_path = context.params.get("settings")
    if value is not None or settings_path is None:
        return value
    settings = read_settings(settings_path, EntrySettings)
    if isinstance(settings, FaultySettings):
        raise click.BadParameter("\n".join(str(fault) for fault in settings.faults))
    return str(settings.platform.log.address)


settings_option = click.option(
    "--settings",
    type=click.Path(path_type=Path),
    is_eager=True,
    help="Settings file of an entry, to read the log's address from.",
)
log_option = click.option(
    "--log",
    "log_address",
    metavar="IP:PORT",
    envvar="RAGWORTWING_LOG",
    callback=_log_address,
    help="Address of the platform's log.",
)
json_option = click.option("--json", "as_json", is_flag=True, help="Answer as JSON.")
operator_option = click.option(
    "--operator",
    default=getpass.getuser,
    help="Operator name for the history; defaults to your user name.",
)
note_option = click.option("--note", default="", help="Remark for the history.")


def read_file(path: Path, output: Output) -> dict[str, Any]:
    """Return the document of a TOML file, or exit if it cannot be read."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        output.fail_on_faults((Fault(str(path), str(error)),), ExitCode.BAD_INPUT)


def run_with_publisher(
    log_address: str | None,
    output: Output,
    work: Callable[[ConfigurationPublisher], Awaitable[None]],
    operator: str = "",
) -> None:
    """Read the configuration stream to its end and run a command on it.

    Args:
        log_address: Address of the platform's log.
        output: Output that reports errors.
        work: The command, called with a publisher that is up to date.
        operator: Name of the operator for published records.
    """
    if log_address is None:
        raise click.UsageError("specify --log, --settings or RAGWORTWING_LOG")

    async def run() -> None:
        platform = open_platform(log_address)
        try:
            publisher = ConfigurationPublisher(platform.log, SystemClock(), operator)
            failure = await publisher.catch_up()
            if failure is not None:
                fail_unavailable(failure, output)
            await work(publisher)
        finally:
            platform.close()

    trio.run(run)


def fail_unavailable(failure: LogUnavailable, output: Output) -> NoReturn:
    """Report that the log is unavailable and exit."""
    text = f"the log is unavailable ({failure.cause}); nothing was changed"
    value = {"result": "log_unavailable", "cause": failure.cause}
    output.fail(ExitCode.LOG_UNAVAILABLE, text, value)


def print_result(result: PublishResult, output: Output) -> None:
    """Print the result of publishing a record, and exit unless it was accepted."""
    match result:
        case Accepted():
            text = f"accepted: revision {result.revision}, preset {result.preset}"
            output.show(text, {"result": "accepted"} | asdict(result))
        case Conflict():
            text = (
                f"refused: based on revision {result.base}, but revision "
                f"{result.revision_in_force} with preset {result.preset_in_force} is in force"
            )
            output.fail(ExitCode.REFUSED, text, {"result": "conflict"} | asdict(result))
        case Invalid():
            output.fail_on_faults(result.faults, ExitCode.BAD_INPUT)
        case LogUnavailable():
            fail_unavailable(result, output)
        case PublishUnknown():
            text = f"unknown whether record {result.record_id} was appended; see config history"
            value = {"result": "unknown"} | asdict(result)
            output.fail(ExitCode.UNKNOWN, text, value)
        case _:
            fail_state_lost(output)


def fail_state_lost(output: Output) -> NoReturn:
    """Report that the configuration in force cannot be determined, and exit."""
    text = (
        "the log no longer contains the records that determine the configuration in force; "
        "publish a complete configuration with --unconditional"
    )
    output.fail(ExitCode.REFUSED, text, {"result": "state_lost"})


def require_known_state(publisher: ConfigurationPublisher, output: Output) -> None:
    """Exit if the configuration in force cannot be determined."""
    if not publisher.state.complete:
        fail_state_lost(output)


def require_configuration(publisher: ConfigurationPublisher, output: Output) -> None:
    """Exit if no configuration has been published."""
    require_known_state(publisher, output)
    if publisher.state.configuration is None:
        text = "no configuration has been published yet"
        output.fail(ExitCode.REFUSED, text, {"result": "unconfigured"})

"""`ragwortwing config`: check, publish and look at the published configuration.

Exit codes: 0 done, 1 refused (a conflict, or nothing known to be in force), 2 the file or the
arguments have faults, 3 the log cannot be used and nothing was changed, 4 not known.
"""

from __future__ import annotations

from dataclasses import asdict
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import tomli_w

from ragwortwing_policy.configuration_diff import diff_documents
from ragwortwing_policy.configuration_document import Refused, read_document
from ragwortwing_policy.configuration_log import (
    NO_REVISION,
    UNCONDITIONAL,
    Checkpoint,
    Judged,
    Publication,
)

from ._operator import (
    ExitCode,
    Output,
    json_option,
    log_option,
    note_option,
    operator_option,
    read_file,
    require_configuration,
    require_known_state,
    settings_option,
    tell_result,
    with_publisher,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ragwortwing_runtime.configuration_publisher import ConfigurationPublisher

FILE = click.Path(path_type=Path, dir_okay=False)


@click.group()
def config() -> None:
    """Check, publish and show the published configuration."""


@config.command()
@click.argument("file", type=FILE)
@json_option
def check(file: Path, as_json: bool) -> None:
    """Check a configuration file and list every fault with its path."""
    output = Output(as_json)
    read_checked(file, None, output)
    output.show(f"{file}: sound", {"result": "sound"})


@config.command()
@click.argument("file", type=FILE)
@click.option("--base", type=int, help="Revision it was made from; the one in force if left out.")
@click.option("--preset", help="Preset in force with it; the one in force if left out.")
@click.option("--unconditional", is_flag=True, help="Take effect whatever is in force.")
@note_option
@operator_option
@settings_option
@log_option
@json_option
def publish(
    file: Path,
    base: int | None,
    preset: str | None,
    unconditional: bool,
    note: str,
    operator: str,
    settings: Path | None,
    log_address: str | None,
    as_json: bool,
) -> None:
    """Publish a configuration file; accepted is said only once the log has shown it."""
    output = Output(as_json)

    async def work(publisher: ConfigurationPublisher) -> None:
        if not unconditional:
            require_known_state(publisher, output)
        chosen = preset or publisher.state.preset
        if not chosen:
            raise click.UsageError("the first publication names its --preset")
        document = read_checked(file, chosen, output)
        made_from = publisher.state.revision if base is None else base
        result = await publisher.publish(
            document, chosen, UNCONDITIONAL if unconditional else made_from, note
        )
        tell_result(result, output)

    with_publisher(log_address, output, work, operator)


@config.command()
@click.option("--revision", type=int, help="A former revision; the one in force if left out.")
@settings_option
@log_option
@json_option
def show(
    revision: int | None, settings: Path | None, log_address: str | None, as_json: bool
) -> None:
    """Show a configuration as a file that can be changed and published again."""
    output = Output(as_json)

    async def work(publisher: ConfigurationPublisher) -> None:
        require_configuration(publisher, output)
        shown = publisher.state.revision if revision is None else revision
        document = find_document(publisher, shown, output)
        preset = publisher.state.preset
        heading = f"# revision {shown}\n"
        if shown == publisher.state.revision:
            heading = f"# revision {shown} in force, preset {preset}\n"
        value = {"revision": shown, "document": document}
        output.show(heading + tomli_w.dumps(document), value)

    with_publisher(log_address, output, work)


@config.command()
@settings_option
@log_option
@json_option
def history(settings: Path | None, log_address: str | None, as_json: bool) -> None:
    """List what was published and what became of it, as far as the log reaches back."""
    output = Output(as_json)

    async def work(publisher: ConfigurationPublisher) -> None:
        lines = [_history_line(judged) for judged in publisher.history]
        output.show("\n".join(lines), [_history_value(judged) for judged in publisher.history])

    with_publisher(log_address, output, work)


@config.command()
@click.argument("sides", nargs=-1, required=True, metavar="[OLD] NEW")
@settings_option
@log_option
@json_option
def diff(
    sides: tuple[str, ...], settings: Path | None, log_address: str | None, as_json: bool
) -> None:
    """Show what differs between two configurations, each a file or a revision.

    OLD is the revision in force if it is left out.
    """
    output = Output(as_json)
    if len(sides) > 2:
        raise click.UsageError("give one or two files or revisions")

    async def work(publisher: ConfigurationPublisher) -> None:
        require_configuration(publisher, output)
        old, new = sides if len(sides) == 2 else (str(publisher.state.revision), sides[0])
        differences = diff_documents(
            _document_of(publisher, old, output), _document_of(publisher, new, output)
        )
        lines = [f"{each.path}: {each.old!r} -> {each.new!r}" for each in differences]
        output.show("\n".join(lines), [asdict(each) for each in differences])

    with_publisher(log_address, output, work)


def read_checked(file: Path, preset: str | None, output: Output) -> dict[str, Any]:
    """Return the document of a file that has no fault, or end the process."""
    document = read_file(file, output)
    checked = read_document(document, NO_REVISION, preset)
    if isinstance(checked, Refused):
        output.fail_on_faults(checked.faults, ExitCode.BAD_INPUT)
    return document


def find_document(
    publisher: ConfigurationPublisher, revision: int, output: Output
) -> Mapping[str, Any]:
    """Return the document of a revision, or end the process."""
    document = publisher.document_at(revision)
    if document is None:
        text = f"revision {revision} is not in the log, or was never in force"
        value = {"result": "no_such_revision", "revision": revision}
        output.fail(ExitCode.BAD_INPUT, text, value)
    return document


def _document_of(publisher: ConfigurationPublisher, side: str, output: Output) -> Mapping[str, Any]:
    if side.isdigit():
        return find_document(publisher, int(side), output)
    return read_file(Path(side), output)


def _history_value(judged: Judged) -> dict[str, Any]:
    verdict = type(judged.verdict).__name__.lower()
    value: dict[str, Any] = {"offset": judged.offset, "verdict": verdict}
    entry = judged.entry
    if entry is None:
        return value | {"kind": "unreadable"}
    value |= {"kind": _kind(entry), "record_id": entry.record_id, "preset": entry.preset}
    if not isinstance(entry, Checkpoint):
        value |= {
            "base": entry.base,
            "operator": entry.operator,
            "published_at": datetime.fromtimestamp(entry.published_at, UTC).isoformat(),
            "note": entry.note,
        }
    return value


def _kind(entry: object) -> str:
    if isinstance(entry, Checkpoint):
        return "checkpoint"
    return "publication" if isinstance(entry, Publication) else "preset_switch"


def _history_line(judged: Judged) -> str:
    value = _history_value(judged)
    parts = [f"{value['offset']:>6}", f"{value['verdict']:<9}", f"{value['kind']:<13}"]
    for key in ("preset", "base", "published_at", "operator", "note"):
        if key in value:
            parts.append(f"{key}={value[key]}")
    return "  ".join(parts)

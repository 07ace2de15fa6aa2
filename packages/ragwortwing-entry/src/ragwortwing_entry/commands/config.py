"""`ragwortwing config`: check, publish and inspect the configuration.

Exit codes: 0 success, 1 refused (a conflict, or no configuration known to be in force), 2 the file
or the arguments are invalid, 3 the log is unavailable and nothing was changed, 4 result unknown.
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
    EvaluatedRecord,
    Publication,
)

from ._operator import (
    ExitCode,
    Output,
    json_option,
    log_option,
    note_option,
    operator_option,
    print_result,
    read_file,
    require_configuration,
    require_known_state,
    run_with_publisher,
    settings_option,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ragwortwing_runtime.configuration_publisher import ConfigurationPublisher

FILE_TYPE = click.Path(path_type=Path, dir_okay=False)


@click.group()
def config() -> None:
    """Check, publish and show the published configuration."""


@config.command()
@click.argument("file", type=FILE_TYPE)
@json_option
def check(file: Path, as_json: bool) -> None:
    """Check a configuration file and list every fault with its path."""
    output = Output(as_json)
    read_valid_document(file, None, output)
    output.show(f"{file}: valid", {"result": "sound"})


@config.command()
@click.argument("file", type=FILE_TYPE)
@click.option(
    "--base", type=int, help="Revision the file is based on; defaults to the one in force."
)
@click.option("--preset", help="Preset to put in force with it; defaults to the current one.")
@click.option(
    "--unconditional", is_flag=True, help="Take effect regardless of the revision in force."
)
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
    """Publish a configuration file; success is reported once the log confirms it."""
    output = Output(as_json)

    async def work(publisher: ConfigurationPublisher) -> None:
        if not unconditional:
            require_known_state(publisher, output)
        chosen_preset = preset or publisher.state.preset
        if not chosen_preset:
            raise click.UsageError("the first publication requires --preset")
        document = read_valid_document(file, chosen_preset, output)
        base_revision = publisher.state.revision if base is None else base
        result = await publisher.publish(
            document, chosen_preset, UNCONDITIONAL if unconditional else base_revision, note
        )
        print_result(result, output)

    run_with_publisher(log_address, output, work, operator)


@config.command()
@click.option("--revision", type=int, help="An earlier revision; defaults to the one in force.")
@settings_option
@log_option
@json_option
def show(
    revision: int | None, settings: Path | None, log_address: str | None, as_json: bool
) -> None:
    """Show a configuration as a file that can be edited and published."""
    output = Output(as_json)

    async def work(publisher: ConfigurationPublisher) -> None:
        require_configuration(publisher, output)
        shown_revision = publisher.state.revision if revision is None else revision
        document = find_document(publisher, shown_revision, output)
        preset = publisher.state.preset
        heading = f"# revision {shown_revision}\n"
        if shown_revision == publisher.state.revision:
            heading = f"# revision {shown_revision} in force, preset {preset}\n"
        value = {"revision": shown_revision, "document": document}
        output.show(heading + tomli_w.dumps(document), value)

    run_with_publisher(log_address, output, work)


@config.command()
@settings_option
@log_option
@json_option
def history(settings: Path | None, log_address: str | None, as_json: bool) -> None:
    """List published records and their results, as far back as the log reaches."""
    output = Output(as_json)

    async def work(publisher: ConfigurationPublisher) -> None:
        lines = [_history_line(evaluated) for evaluated in publisher.history]
        output.show(
            "\n".join(lines), [_history_value(evaluated) for evaluated in publisher.history]
        )

    run_with_publisher(log_address, output, work)


@config.command()
@click.argument("sides", nargs=-1, required=True, metavar="[OLD] NEW")
@settings_option
@log_option
@json_option
def diff(
    sides: tuple[str, ...], settings: Path | None, log_address: str | None, as_json: bool
) -> None:
    """Show the differences between two configurations, each a file or a revision.

    OLD defaults to the revision in force.
    """
    output = Output(as_json)
    if len(sides) > 2:
        raise click.UsageError("specify one or two files or revisions")

    async def work(publisher: ConfigurationPublisher) -> None:
        require_configuration(publisher, output)
        old, new = sides if len(sides) == 2 else (str(publisher.state.revision), sides[0])
        differences = diff_documents(
            _load_document(publisher, old, output), _load_document(publisher, new, output)
        )
        lines = [f"{each.path}: {each.old!r} -> {each.new!r}" for each in differences]
        output.show("\n".join(lines), [asdict(each) for each in differences])

    run_with_publisher(log_address, output, work)


def read_valid_document(file: Path, preset: str | None, output: Output) -> dict[str, Any]:
    """Return the document of a valid configuration file, or exit if it has faults."""
    document = read_file(file, output)
    configuration = read_document(document, NO_REVISION, preset)
    if isinstance(configuration, Refused):
        output.fail_on_faults(configuration.faults, ExitCode.BAD_INPUT)
    return document


def find_document(
    publisher: ConfigurationPublisher, revision: int, output: Output
) -> Mapping[str, Any]:
    """Return the document of a revision, or exit if it is not in the log."""
    document = publisher.document_at(revision)
    if document is None:
        text = f"revision {revision} is not in the log, or was never in force"
        value = {"result": "no_such_revision", "revision": revision}
        output.fail(ExitCode.BAD_INPUT, text, value)
    return document


def _load_document(
    publisher: ConfigurationPublisher, side: str, output: Output
) -> Mapping[str, Any]:
    if side.isdigit():
        return find_document(publisher, int(side), output)
    return read_file(Path(side), output)


def _history_value(evaluated: EvaluatedRecord) -> dict[str, Any]:
    verdict = type(evaluated.verdict).__name__.lower()
    value: dict[str, Any] = {"offset": evaluated.offset, "verdict": verdict}
    entry = evaluated.entry
    if entry is None:
        return value | {"kind": "unreadable"}
    value |= {"kind": _entry_kind(entry), "record_id": entry.record_id, "preset": entry.preset}
    if not isinstance(entry, Checkpoint):
        value |= {
            "base": entry.base,
            "operator": entry.operator,
            "published_at": datetime.fromtimestamp(entry.published_at, UTC).isoformat(),
            "note": entry.note,
        }
    return value


def _entry_kind(entry: object) -> str:
    if isinstance(entry, Checkpoint):
        return "checkpoint"
    return "publication" if isinstance(entry, Publication) else "preset_switch"


def _history_line(evaluated: EvaluatedRecord) -> str:
    value = _history_value(evaluated)
    parts = [f"{value['offset']:>6}", f"{value['verdict']:<9}", f"{value['kind']:<13}"]
    for key in ("preset", "base", "published_at", "operator", "note"):
        if key in value:
            parts.append(f"{key}={value[key]}")
    return "  ".join(parts)

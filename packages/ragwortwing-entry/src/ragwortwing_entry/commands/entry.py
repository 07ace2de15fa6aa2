"""`ragwortwing entry run`: starts an entry process."""

from __future__ import annotations

import sys
from pathlib import Path
from random import Random

import click
import trio

from ragwortwing_runtime.configuration_feed import ConfigurationFeed
from ragwortwing_runtime.logs import install_logs
from ragwortwing_runtime.platform_services import open_platform
from ragwortwing_runtime.settings import EntrySettings
from ragwortwing_runtime.settings_reader import (
    FAULTY_SETTINGS_EXIT_CODE,
    FaultySettings,
    read_settings,
)
from ragwortwing_runtime.system_clock import SystemClock

from ..entry_app import EntryApp


@click.group()
def entry() -> None:
    """Run an entry."""


@entry.command()
@click.option("--settings", "settings_path", type=click.Path(path_type=Path), required=True)
def run(settings_path: Path) -> None:
    """Serve requests until SIGTERM."""
    settings = read_settings(settings_path, EntrySettings)
    if isinstance(settings, FaultySettings):
        for fault in settings.faults:
            click.echo(str(fault), err=True)
        sys.exit(FAULTY_SETTINGS_EXIT_CODE)
    install_logs(settings.name, settings.telemetry.log_level)
    sys.exit(trio.run(run_entry, settings))


async def run_entry(settings: EntrySettings) -> int:
    """Run an entry with the given settings and return its exit code."""
    clock = SystemClock()
    platform = open_platform(str(settings.platform.log.address))
    feed = ConfigurationFeed(platform.log, clock, Random())
    code = await EntryApp(settings, feed, platform.members, clock).run_with_signals()
    platform.close()
    return code

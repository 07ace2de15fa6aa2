"""`ragwortwing part`: release parts of prompts that are kept from engines."""

from __future__ import annotations

import getpass
import socket

import click

from ragwortwing_entry.direct.peer_messages import PartReleaseMessage, encode


@click.group()
def part() -> None:
    """Manage parts of prompts on which engines crash."""


@part.command()
@click.argument("part_id")
@click.option(
    "--entry",
    "address",
    required=True,
    metavar="IP:PORT",
    help="Address at which an entry receives the datagrams of other entries.",
)
def release(part_id: str, address: str) -> None:
    """Unblock a part at all entries; its next crashes count anew."""
    host, _, port = address.rpartition(":")
    if not port.isdigit():
        raise click.BadParameter(f"{address!r} is not of the form IP:PORT", param_hint="--entry")
    message = PartReleaseMessage(f"operator {getpass.getuser()}", part_id)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(encode(message), (host, int(port)))
    click.echo(f"release of {part_id} sent to {address}; its log has `prompt_part_released`")

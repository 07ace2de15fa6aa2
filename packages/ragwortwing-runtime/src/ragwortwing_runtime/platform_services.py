"""Access to the platform's services through the installed platform adapter.

An adapter is a separate package that registers a package entry point.
"""

from __future__ import annotations

from importlib.metadata import entry_points
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from .members import MemberSource
    from .record_log import Log

ADAPTER_GROUP = "ragwortwing.platform"
"""Package entry point group in which an adapter registers its `PlatformOpener`."""


class PlatformServices(Protocol):
    """Platform services that the processes use."""

    @property
    def log(self) -> Log:
        """The append-only log."""
        ...

    @property
    def members(self) -> MemberSource:
        """The list of VMs."""
        ...

    def close(self) -> None:
        """Close every connection."""
        ...


class PlatformOpener(Protocol):
    """Factory that an adapter registers."""

    def __call__(self, address: str) -> PlatformServices:
        """Return the services at an address, `ip:port`, without calling them yet."""
        ...


class NoAdapterError(Exception):
    """No platform adapter is installed, or more than one."""

    def __init__(self, found: tuple[str, ...]) -> None:
        super().__init__(f"exactly one adapter is needed in {ADAPTER_GROUP}, found: {list(found)}")
        self.found = found


def open_platform(address: str) -> PlatformServices:
    """Open the platform's services through the installed adapter.

    Args:
        address: Address of the platform's log, as `ip:port`.

    Raises:
        NoAdapterError: No adapter is installed, or more than one.
    """
    found = tuple(entry_points(group=ADAPTER_GROUP))
    if len(found) != 1:
        raise NoAdapterError(tuple(each.value for each in found))
    opener: PlatformOpener = found[0].load()
    return opener(address)

"""The platform's services, opened through the adapter that is installed beside the product."""

from __future__ import annotations

from importlib.metadata import entry_points
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from .members import MemberSource
    from .record_log import Log

ADAPTER_GROUP = "ragwortwing.platform"
"""Group of package entry points under which an adapter offers its `PlatformOpener`."""


class PlatformServices(Protocol):
    """What a process of the product uses of the platform."""

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
    """What an adapter offers."""

    def __call__(self, address: str) -> PlatformServices:
        """Return the services behind an address, `ip:port`; nothing is called yet."""
        ...


class NoAdapterError(Exception):
    """Not exactly one adapter of a platform is installed."""

    def __init__(self, found: tuple[str, ...]) -> None:
        super().__init__(f"one adapter is needed in {ADAPTER_GROUP}, found: {list(found)}")
        self.found = found


def open_platform(address: str) -> PlatformServices:
    """Open the platform's services through the installed adapter.

    Args:
        address: Where the platform's log listens, as `ip:port`.

    Raises:
        NoAdapterError: None is installed, or several.
    """
    found = tuple(entry_points(group=ADAPTER_GROUP))
    if len(found) != 1:
        raise NoAdapterError(tuple(each.value for each in found))
    opener: PlatformOpener = found[0].load()
    return opener(address)

"""The interface of a duty, and the registry of duties that an entry can perform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from .permit import Permit


class Duty(Protocol):
    """Work that one entry at a time does for the fleet.

    Each decision is appended to the log before it is acted on.
    """

    name: str

    def next_state(self, state: bytes) -> bytes | None:
        """Return the state that must be in the log before the next act.

        Args:
            state: The newest state in the log; empty if there is none.

        Returns:
            The state to append; None if there is nothing new to decide.
        """
        ...

    def carried_state(self, state: bytes) -> bytes:
        """Return the state to append when the lease is only renewed or released."""
        ...

    def has_work(self, state: bytes) -> bool:
        """Return whether a decision in the log has not been carried out yet."""
        ...

    async def execute(self, state: bytes, permit: Permit) -> bool:
        """Carry out the next decision in the log; return whether it succeeded."""
        ...


_builders_by_name: dict[str, Callable[..., Duty]] = {}


def register_duty(name: str) -> Callable[[type[Any]], type[Any]]:
    """Register a duty class under its name in the settings."""

    def register(duty: type[Any]) -> type[Any]:
        _builders_by_name[name] = duty
        return duty

    return register


def duty_builder(name: str) -> Callable[..., Duty] | None:
    """Return the constructor of a duty; None if the name is not registered."""
    return _builders_by_name.get(name)

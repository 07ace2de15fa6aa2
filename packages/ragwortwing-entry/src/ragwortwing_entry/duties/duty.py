"""What a duty is, and the registry of those that an entry can perform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from .permit import Permit


class Duty(Protocol):
    """Work that one entry at a time does for all; decided in the log before it is done."""

    name: str

    def next_state(self, state: bytes) -> bytes | None:
        """Return the state that has to stand in the log before the next act.

        Args:
            state: The newest state of the log; empty where there is none.

        Returns:
            The state to append; None where nothing new has to be decided.
        """
        ...

    def carried_state(self, state: bytes) -> bytes:
        """Return the state to append where only the lease is renewed or given up."""
        ...

    def has_work(self, state: bytes) -> bool:
        """Return whether something that stands in the log is still to be done."""
        ...

    async def act(self, state: bytes, permit: Permit) -> bool:
        """Do the next thing that stands in the log; return whether it succeeded."""
        ...


_builders_by_name: dict[str, Callable[..., Duty]] = {}


def register_duty(name: str) -> Callable[[type[Any]], type[Any]]:
    """Register a class of duties under the name that the settings give it."""

    def register(duty: type[Any]) -> type[Any]:
        _builders_by_name[name] = duty
        return duty

    return register


def duty_builder(name: str) -> Callable[..., Duty] | None:
    """Return what builds a duty; None where no such duty is known."""
    return _builders_by_name.get(name)

"""State charts, loaded from TOML files in the package and interpreted with `transitions`."""

from __future__ import annotations

import tomllib
from functools import cache
from importlib import resources

from transitions import Machine

CHARTS_DIRECTORY = "charts"
"""Package-data directory that holds the charts, one file each."""


class ChartError(Exception):
    """A chart file with an ambiguous transition."""


class InvalidTransitionError(Exception):
    """A trigger that the chart does not allow in the current state."""

    def __init__(self, chart: str, state: str, trigger: str) -> None:
        super().__init__(f"{chart}: no transition {trigger!r} from {state!r}")
        self.chart = chart
        self.state = state
        self.trigger = trigger


class StateChart:
    """The states and transitions of one state machine.

    A chart does not store a current state, so one chart can be shared by any number of owners. Each
    owner stores the name of its state and looks up the next one.

    Example:
        >>> chart = load_chart("circuit")
        >>> chart.initial
        'closed'
        >>> chart.next("closed", "eject")
        'open'
        >>> chart.allows("open", "recover")
        False
    """

    def __init__(self, name: str, text: str) -> None:
        document = tomllib.loads(text)
        self.name = name
        self.initial: str = document["initial"]
        self.descriptions_by_state: dict[str, str] = document["states"]
        self._destination_by_edge = self._interpret(document)

    def allows(self, state: str, trigger: str) -> bool:
        """Return whether a trigger is allowed in a state."""
        return (state, trigger) in self._destination_by_edge

    def next(self, state: str, trigger: str) -> str:
        """Return the state that a trigger leads to.

        Raises:
            InvalidTransitionError: The chart has no such transition.
        """
        destination = self._destination_by_edge.get((state, trigger))
        if destination is None:
            raise InvalidTransitionError(self.name, state, trigger)
        return destination

    def _interpret(
        self, document: dict[str, list[dict[str, object]]]
    ) -> dict[tuple[str, str], str]:
        machine = Machine(
            model=None,
            states=list(self.descriptions_by_state),
            initial=self.initial,
            transitions=document["transitions"],
            auto_transitions=False,
        )
        edges: dict[tuple[str, str], str] = {}
        for trigger, event in machine.events.items():
            for state, choices in event.transitions.items():
                destinations = {each.dest for each in choices}
                destination = destinations.pop()
                if destinations or destination is None:
                    raise ChartError(f"{self.name}: {trigger!r} from {state!r} is ambiguous")
                edges[state, trigger] = destination
        return edges


@cache
def load_chart(name: str) -> StateChart:
    """Return the packaged chart with the given file stem."""
    file = resources.files(__package__) / CHARTS_DIRECTORY / f"{name}.toml"
    return StateChart(name, file.read_text(encoding="utf-8"))

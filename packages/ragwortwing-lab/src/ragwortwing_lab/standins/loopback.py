"""Reserves loopback addresses, so that concurrent test runs can't listen on the same ports."""

from __future__ import annotations

import socket
from itertools import count
from random import Random

LOOPBACK = "127.0.0.1"

RESERVATION_PORT = 20_080
"""Port on the first address of a range; whoever is bound to it owns the range."""

MAX_ATTEMPTS = 100


class LoopbackRangeError(Exception):
    """No range of loopback addresses could be reserved."""


class LoopbackRange:
    """A reserved /24 of loopback addresses.

    Outgoing connections over loopback have the source address 127.0.0.1, which is in no range.
    A port on an address of a range therefore remains free until the owner of the range binds it.

    Attributes:
        prefix: The first three octets of the addresses, such as `127.7.9`.

    Raises:
        LoopbackRangeError: If every range that was tried is in use.
    """

    def __init__(self, random: Random | None = None) -> None:
        random = random or Random()
        for _ in range(MAX_ATTEMPTS):
            self.prefix = f"127.{random.randint(1, 255)}.{random.randint(0, 255)}"
            self._reservation = socket.socket()
            try:
                self._reservation.bind((f"{self.prefix}.1", RESERVATION_PORT))
            except OSError:
                self._reservation.close()
            else:
                self._numbers = count()
                return
        raise LoopbackRangeError(f"no free range in {MAX_ATTEMPTS} attempts")

    def address(self, number: int) -> str:
        """Return one of the 253 addresses that processes may listen on, counted from 0."""
        if not 0 <= number < 253:
            raise ValueError(f"a range has 253 addresses, not {number + 1}")
        return f"{self.prefix}.{number + 2}"

    def next_address(self) -> str:
        """Return the first address that this method has not returned before."""
        return self.address(next(self._numbers))

    def close(self) -> None:
        """Release the range."""
        self._reservation.close()

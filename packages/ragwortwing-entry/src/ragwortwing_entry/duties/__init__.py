"""Duties that one entry at a time performs: who holds them, and what is done."""

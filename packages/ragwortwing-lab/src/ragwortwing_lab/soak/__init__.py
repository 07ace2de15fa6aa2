"""Soak test of the platform's entries: runs real processes, injects faults, checks guarantees."""

"""Duties that one entry at a time performs: leader election by a lease, and the work itself."""

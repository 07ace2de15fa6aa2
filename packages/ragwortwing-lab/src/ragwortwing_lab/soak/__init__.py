"""A soak of the platform's entries: real processes, faults from outside, promises checked."""

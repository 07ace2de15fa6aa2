"""Randomized faults against a site of real processes, and the checks of what must always hold."""

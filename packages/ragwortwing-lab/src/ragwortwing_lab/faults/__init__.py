"""Injects random faults into a site of real processes and checks its guarantees."""

"""Routing, placement, send and retry decisions of an entry that calls backend servers directly."""

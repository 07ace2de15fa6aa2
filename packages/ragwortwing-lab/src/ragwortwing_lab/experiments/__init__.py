"""Seeded experiments, registered by name, with results that render as tables or JSON."""

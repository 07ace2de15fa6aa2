"""Decisions of an entry that calls backend servers itself: routes, placement, sends, retries."""

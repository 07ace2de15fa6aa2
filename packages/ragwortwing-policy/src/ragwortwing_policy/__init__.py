"""Decisions of ragwortwing: admission, queueing, routing, limits, retries, orders, membership."""

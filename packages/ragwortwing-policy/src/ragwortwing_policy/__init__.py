"""Decision logic without I/O: admission, queueing, routing, limits, retries, orders, membership."""

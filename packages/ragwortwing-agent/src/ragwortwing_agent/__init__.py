"""The agent: a process next to each backend server that queues and forwards its requests."""

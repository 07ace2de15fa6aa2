"""The agent process beside each backend server."""

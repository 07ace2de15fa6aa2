"""Stand-ins for external services and backend servers, with faults that tests can inject."""

"""Small stand-ins of the platform's services, each a process with a control address for faults."""

"""Runtime of a process: application base, platform clients, settings, logs and telemetry."""

"""Clients of the platform, checked settings and telemetry."""

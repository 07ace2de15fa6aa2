"""Experiments: functions of a seed, registered by name, whose results render as table and JSON."""

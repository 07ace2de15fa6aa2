"""A small model of engines and callers in virtual time, driving the shipped policy code."""

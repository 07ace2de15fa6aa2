"""Simulation of engines and callers in virtual time that drives the shipped policy code."""

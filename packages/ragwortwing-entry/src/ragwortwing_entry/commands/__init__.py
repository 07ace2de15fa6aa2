"""The commands of the binary `ragwortwing`."""

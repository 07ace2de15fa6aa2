"""An entry that calls backend servers itself, behind ports for callers and backend servers."""

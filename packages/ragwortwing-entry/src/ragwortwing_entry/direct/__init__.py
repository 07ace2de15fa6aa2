"""An entry that calls backend servers directly, with ports for callers, backends and the store."""

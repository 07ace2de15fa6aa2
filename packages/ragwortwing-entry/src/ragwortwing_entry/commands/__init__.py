"""Commands of the `ragwortwing` command line interface."""

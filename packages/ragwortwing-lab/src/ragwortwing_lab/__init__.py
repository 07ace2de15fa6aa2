"""Test servers, load generator and experiments for development; not part of the release."""

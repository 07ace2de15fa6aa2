"""The entry process and the operator commands."""

"""The load generator: seeded open-loop arrivals, each answer checked whole, a report."""

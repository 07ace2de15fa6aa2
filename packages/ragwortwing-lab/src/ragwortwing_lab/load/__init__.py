"""Load generator with seeded open-loop arrivals, answer verification and a report."""

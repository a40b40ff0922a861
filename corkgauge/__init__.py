"""A workload manager before analytic engines."""

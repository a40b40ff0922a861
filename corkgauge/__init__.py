"""A workload manager before analytic engines."""

VERSION = "0.2.0"

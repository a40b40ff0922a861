"""Counts requests, attempts and connections, and verifies that the counts are consistent."""

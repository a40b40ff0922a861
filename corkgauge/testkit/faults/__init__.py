"""Faults that tests inject."""

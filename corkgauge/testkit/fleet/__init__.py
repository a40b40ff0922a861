"""Fleets of real and of hollow processes."""

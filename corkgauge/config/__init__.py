"""Readers of the platform's configuration, its settings and the operator file."""

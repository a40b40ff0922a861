"""Crash recovery: a log of attempts that may have run, and snapshots of the learned state."""

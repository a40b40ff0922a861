"""Accounting: what was accepted, answered, sent and is open, and the proof that it adds up."""

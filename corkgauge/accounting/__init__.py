"""Accounts: what was taken, answered, handed off and is still open, and the proof that it adds up."""

"""Checkers that judge the program under test from records made outside of it."""

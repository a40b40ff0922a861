"""Checkers that stand outside of the program under test."""

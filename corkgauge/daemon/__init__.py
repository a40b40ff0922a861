"""The serving process."""

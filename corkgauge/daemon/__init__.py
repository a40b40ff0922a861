"""The serving process: start, signals, reload and subsystems."""

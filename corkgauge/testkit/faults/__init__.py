"""Faults that tests inject into processes, connections and the clock."""

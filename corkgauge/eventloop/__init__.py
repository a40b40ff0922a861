"""Event loop, connections, ring buffers, clocks and log forms, on which every host stands."""

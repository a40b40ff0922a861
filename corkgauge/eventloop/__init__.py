"""Event loop, stream connections, ring buffers, clocks and log formats of every host."""

"""Memory over a restart: what was learned, aged, and which hand-offs may have run."""

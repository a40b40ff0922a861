"""What one gateway learns, the others know in time: shared findings, and parts of shared totals that are lent."""

"""Units of time and sample counts that several policy modules share."""

TICKS_PER_SECOND = 10_000  # ticks
ESTIMATE_VALIDITY_TICKS = 200  # a figure made of many samples is worked out once in this time
RECENT_SAMPLES = 8  # samples kept for an engine; also the decay of arrivals, in intervals
MIN_SAMPLES = 3  # samples that a figure needs
FEEDBACK_INTERVAL_TICKS = 2 * TICKS_PER_SECOND

"""Units of time and sample counts that several policy modules share."""

TICKS_PER_SECOND = 10_000
ESTIMATE_VALIDITY_TICKS = 200  # caching time of an estimate that is computed from many samples
RECENT_SAMPLES = 8  # samples per engine; also the decay time of arrivals, in feedback intervals
MIN_SAMPLES = 3  # samples that an estimate needs
FEEDBACK_INTERVAL_TICKS = 2 * TICKS_PER_SECOND

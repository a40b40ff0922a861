"""Units of time and sample counts that several policy modules share or derive limits from."""

TICKS_PER_SECOND = 10_000
# Caching time of an estimate that is computed from many samples. The largest host lag for new
# requests and the longest delay of an immediate send are derived from this value.
ESTIMATE_VALIDITY_TICKS = 200
# Samples per engine, and the decay time of request counts in feedback intervals. The lowest
# admission price and the number of requests tried for one slot are derived from this value.
RECENT_SAMPLES = 8
MIN_SAMPLES = 3  # fewest samples that an estimate is computed from
FEEDBACK_INTERVAL_TICKS = 2 * TICKS_PER_SECOND

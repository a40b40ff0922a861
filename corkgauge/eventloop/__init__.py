"""What hosts and subsystems stand on: the scheduler, links, rings and the log. Knows none of them."""

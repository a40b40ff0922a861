"""Who holds what: duties that one gateway holds at a time, by leases from a majority of voters, with
fences."""

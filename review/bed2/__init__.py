"""Stand-ins and helpers of the second review; standard library only."""

"""Log events of routing and the cache index (numbers 1500 to 1599)."""

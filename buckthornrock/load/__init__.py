"""The load tool: open-loop arrivals, seeded mixes and comparison of results."""

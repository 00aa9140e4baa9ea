"""Load generation: seeded mixes, open-loop arrivals, results and their comparison."""

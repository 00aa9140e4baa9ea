"""Log events of profiles and their propagation (numbers 1300 to 1399)."""

"""Log events of the platform's services (numbers 1200 to 1299)."""

"""Log events of calls that may not be repeated (numbers 1900 to 1999)."""

"""Log events of admission, queues and limits (numbers 1700 to 1799)."""

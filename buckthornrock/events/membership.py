"""Log events of membership and the inner protocol (numbers 1400 to 1499)."""

"""Stand-ins of the second review: platform, engines and clients on loopback."""

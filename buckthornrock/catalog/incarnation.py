"""The key that distinguishes each start of an upstream from others."""

#: Id and start time of an upstream.
Incarnation = tuple[str, int]

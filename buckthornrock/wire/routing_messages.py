"""Messages of routing between instances."""

from .message import Message


class RoutingDigest(Message, tag="routing.digest"):
    """What an instance knows first-hand and its peers do not.

    ``n_tokens`` are its own waiting prompt tokens by upstream, ``leaving`` the
    upstreams that the instance list or their own reports call leaving, ``kept`` the
    prefix levels that it had copied to the kept-cache store.
    """

    n_tokens: dict[str, int]
    leaving: tuple[str, ...] = ()
    kept: tuple[int, ...] = ()

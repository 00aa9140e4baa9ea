"""Messages of routing between instances."""

import msgspec


class RoutingDigest(msgspec.Struct):
    """What an instance knows first-hand and its peers do not.

    ``n_tokens`` are its own waiting prompt tokens by upstream, ``leaving`` the
    upstreams that the instance list or their own reports call leaving.
    """

    n_tokens: dict[str, int]
    leaving: tuple[str, ...] = ()

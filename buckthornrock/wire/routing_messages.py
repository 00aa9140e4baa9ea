"""Messages about routing."""

from .message import Message


class RoutingDigest(Message, tag="routing.digest"):
    """The state that an instance knows directly and its peers do not.

    ``n_tokens`` holds its own waiting prompt tokens by upstream, ``leaving`` the
    upstreams that are leaving according to the instance list or their own reports,
    ``kept`` the prefix levels that it had exported to the cache store.
    """

    n_tokens: dict[str, int]
    leaving: tuple[str, ...] = ()
    kept: tuple[int, ...] = ()


class LevelReport(Message, tag="routing.level_report"):
    """Sends to upstreams of prefix levels that the receiver owns.

    Each row is (hash of the level's last block, upstream, its work in milliseconds).
    """

    sends: tuple[tuple[int, str, float], ...]


class LevelAnswer(Message, tag="routing.level_answer"):
    """The reply to a ``LevelReport``: the owner's view of each level.

    Each row is (hash, engine time that the level takes, upstreams that hold it).
    """

    views: tuple[tuple[int, float, tuple[str, ...]], ...]

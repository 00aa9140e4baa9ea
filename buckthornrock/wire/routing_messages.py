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


class LevelReport(Message, tag="routing.level_report"):
    """Sends of prefix levels that the receiver owns.

    Each row is (hash of the level's last block, upstream, its work in milliseconds).
    """

    sends: tuple[tuple[int, str, float], ...]


class LevelAnswer(Message, tag="routing.level_answer"):
    """The owner's views of the levels of a report.

    Each row is (hash, engines' time that the level takes, upstreams that hold it).
    """

    views: tuple[tuple[int, float, tuple[str, ...]], ...]

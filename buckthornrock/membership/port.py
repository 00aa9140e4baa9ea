"""Interface to membership and to the messages between instances."""

from collections.abc import Callable
from typing import NamedTuple

from expression import Error

from .errors import PeerNotReached


class InstanceView(NamedTuple):
    """One live instance as this one sees it.

    ``incarnation`` distinguishes successive runs of the same instance id.
    """

    instance_id: str
    address: str
    failure_domain: str
    region: str
    incarnation: str


class MembershipPort(NamedTuple):
    """Functions of membership.

    Parameters
    ----------
    self_view : callable
        ``self_view() -> InstanceView``.
    live : callable
        ``live() -> tuple[InstanceView, ...]``, sorted by id, this instance included.
    tell : callable
        ``tell(instance_id, message) -> None``; best effort, never blocks long.
    ask : callable
        ``ask(instance_id, message, timeout_ms) -> Result[message, PeerFailure]``;
        only ``PeerNotReached`` and ``PeerUnsupported`` prove that the peer did not
        handle the message.
    subscribe : callable
        ``subscribe(message_type, handler, is_slow=False)``;
        ``handler(sender_id, message)`` returns the reply message or None. A handler
        that may block is to be registered as slow; it runs in a separate pool.
    leave : callable
        ``leave() -> None``; other instances then stop counting this one as live.
    """

    self_view: Callable[[], InstanceView]
    live: Callable[[], tuple[InstanceView, ...]]
    tell: Callable[..., None]
    ask: Callable[..., object]
    subscribe: Callable[..., None]
    leave: Callable[[], None] = lambda: None


def single_instance_membership(view: InstanceView) -> MembershipPort:
    """Return the membership of a fleet of one instance."""
    return MembershipPort(
        self_view=lambda: view,
        live=lambda: (view,),
        tell=lambda instance_id, message: None,
        ask=_no_peer,
        subscribe=lambda message_type, handler, is_slow=False: None,
    )


def _no_peer(instance_id: str, message: object, timeout_ms: float) -> object:
    return Error(PeerNotReached(instance_id))

"""Messages of an engine's ``/orders`` interface."""

import msgspec


class EngineOrder(msgspec.Struct, frozen=True):
    """An order; it states the desired end and may be sent again.

    ``fencing`` rises from steward to steward. An engine that checks it refuses an
    order with a lower one than it has seen.
    """

    order_id: str
    kind: str
    model: str
    weights_version: str
    adapter: str
    role: str
    fencing: int


class EngineOrderState(msgspec.Struct, frozen=True):
    """What an engine has and does; ``loading`` names what it loads, if anything."""

    highest_fencing: int = 0
    loading: str = ""
    models: tuple[str, ...] = ()
    weights_version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = ""
    last_order_id: str = ""


class OrderRefusal(msgspec.Struct, frozen=True):
    """Why an engine refused an order: it has seen a higher fencing number."""

    highest_fencing: int

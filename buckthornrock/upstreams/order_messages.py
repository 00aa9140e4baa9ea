"""Messages of an engine's ``/orders`` interface."""

import msgspec


class EngineOrder(msgspec.Struct, frozen=True):
    """An order to an engine; it states the desired state and is idempotent.

    ``fencing`` rises with every new leader. An engine that checks it refuses an order
    with a lower number than it has seen.
    """

    order_id: str
    kind: str
    model: str
    weights_version: str
    adapter: str
    role: str
    fencing: int


class EngineOrderState(msgspec.Struct, frozen=True):
    """What an engine has loaded; ``loading`` names what it is loading, if anything."""

    highest_fencing: int = 0
    loading: str = ""
    models: tuple[str, ...] = ()
    weights_version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = ""
    last_order_id: str = ""


class OrderRefusal(msgspec.Struct, frozen=True):
    """Response to an order that is refused because of a higher fencing number."""

    highest_fencing: int

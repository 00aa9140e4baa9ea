"""Identity of an instance among its peers, and where it finds them."""

from typing import NamedTuple


class PeerSettings(NamedTuple):
    """Identity of this instance, and the seed addresses for peer discovery."""

    instance_id: str
    failure_domain: str
    address: str
    seeds: tuple[str, ...]
    incarnation: int

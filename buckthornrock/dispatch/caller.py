"""Who asks for something."""

from typing import NamedTuple


class Caller(NamedTuple):
    """Who asks: a client account, and the member of it where there are several."""

    client_account: str
    member: str

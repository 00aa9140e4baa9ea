"""Identity of the caller of a request."""

from typing import NamedTuple


class Caller(NamedTuple):
    """A client account, and the member of it if it has several."""

    client_account: str
    member: str

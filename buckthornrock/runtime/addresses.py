"""Checks addresses that another program wrote."""

import ipaddress
import re

MAX_PORT = 65_535
_PORT = re.compile(r"[0-9]{1,5}")


def is_connectable(address: str) -> bool:
    """Return whether ``address`` is IPv4:PORT and names one host."""
    host, _, port = address.rpartition(":")
    if not _PORT.fullmatch(port) or not 1 <= int(port) <= MAX_PORT:
        return False
    try:
        parsed = ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return not (parsed.is_unspecified or parsed.is_multicast or parsed.is_reserved)

"""Checks addresses that another program wrote."""

import functools
import ipaddress
import re

MAX_PORT = 65_535
#: Digests repeat the addresses of all instances, of which there are some hundreds.
N_CACHED_ADDRESSES = 4_096
_PORT = re.compile(r"[0-9]{1,5}")


@functools.lru_cache(N_CACHED_ADDRESSES)
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

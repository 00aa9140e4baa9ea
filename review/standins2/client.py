"""Clients: a request with the platform's headers, and one exchange on an open connection."""

import asyncio

from .deployment import HOST, KEY, MAX_HEADER_BYTES, MODEL


def prompt_request(
    request_id: str, parts: str, token_counts: str, limit_ms: int = 10_000, n_body_bytes: int = 2
) -> bytes:
    """Return a whole request; its head stays within maxHeaderBytes."""
    lines = [
        "POST /lot-assess/lots HTTP/1.1",
        f"Host: {HOST}",
        f"X-Buckthornrock-Request-Id: {request_id}",
        f"X-Buckthornrock-Model: {MODEL}",
        f"X-Buckthornrock-Token-Count: {token_counts}",
        f"X-Buckthornrock-Prefix-Hash: {parts}",
        f"X-Buckthornrock-Deadline-Ms: {limit_ms}",
        f"Authorization: Bearer {KEY}",
        f"Content-Length: {n_body_bytes}",
    ]
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    assert len(head) <= MAX_HEADER_BYTES, len(head)
    return head + b"x" * n_body_bytes


async def open_to(address: str, own_ip: str | None = None):
    """Return reader and writer of a new connection, which may come from an address of its own."""
    host, _, port = address.rpartition(":")
    own = (own_ip, 0) if own_ip else None
    return await asyncio.open_connection(host, int(port), limit=131_072, local_addr=own)


async def read_status(reader) -> str:
    """Read one whole response; return its status."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    fields = dict(line.partition(": ")[::2] for line in head.split("\r\n")[1:] if line)
    if "content-length" in fields:
        await reader.readexactly(int(fields["content-length"]))
    else:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            await reader.readexactly(size + 2)
        await reader.readuntil(b"\r\n")
    return head[9:12]


async def exchange(reader, writer, request: bytes) -> str:
    """Send a request; return the status, or how the connection ended."""
    try:
        writer.write(request)
        await writer.drain()
        return await read_status(reader)
    except (OSError, asyncio.IncompleteReadError) as error:
        return type(error).__name__

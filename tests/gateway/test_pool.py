"""The number of connections to upstreams is bounded."""

import asyncio

from buckthornrock.catalog.upstreams import Upstream
from buckthornrock.gateway.pool import ConnectionPool
from buckthornrock.platform.headers import open_header_codec
from tests.gateway.harness import now_ms

MAX_CONNECTIONS = 4


def test_idle_connections_make_way_for_new_ones():
    """Idle ones of many upstreams would otherwise use up the descriptors."""

    async def main():
        n_open = 0

        async def hold(reader, writer):
            nonlocal n_open
            n_open += 1
            await reader.read()
            n_open -= 1
            writer.close()

        server = await asyncio.start_server(hold, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = ConnectionPool(open_header_codec(), now_ms, MAX_CONNECTIONS)
        upstreams = [
            Upstream(
                upstream_id=f"i-{number}",
                service="till",
                address=f"127.0.0.1:{port}",
                failure_domain="a",
                is_draining=False,
                started_ms=1,
                n_slots=8,
                weights_versions={},
            )
            for number in range(3 * MAX_CONNECTIONS)
        ]
        for upstream in upstreams:
            acquired = await pool.acquire(upstream, 1_000.0)
            pool.put_back(upstream, acquired.ok)
        async with asyncio.timeout(10.0):
            while n_open > MAX_CONNECTIONS:
                await asyncio.sleep(0.01)
        # The newest are kept.
        kept = await pool.acquire(upstreams[-1], 1_000.0)
        assert kept.ok.is_open
        assert n_open == MAX_CONNECTIONS

    asyncio.run(main())

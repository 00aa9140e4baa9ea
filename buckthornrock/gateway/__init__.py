"""The path of requests: clients' connections, attempts at upstreams, answers."""

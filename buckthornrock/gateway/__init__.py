"""The HTTP gateway: client connections, dispatch to upstreams, responses."""

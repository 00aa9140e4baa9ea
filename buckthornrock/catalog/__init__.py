"""Published configuration and state: routes, client accounts and upstreams."""

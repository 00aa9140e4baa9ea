"""What operators and upstreams have published: routes, accounts and upstreams."""

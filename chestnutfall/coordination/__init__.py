"""Work of the leading controller for gateways and upstreams."""

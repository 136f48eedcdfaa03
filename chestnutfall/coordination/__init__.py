"""What the leading controller does for gateways and upstreams."""

"""Stand-ins for clients, operators and upstreams of the platform, for soak runs and tests."""

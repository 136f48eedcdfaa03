"""Stand-ins for upstreams, for demos, benchmarks and tests: an engine and a plain service."""

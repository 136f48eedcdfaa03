"""Room at plain services: what their upstreams run at once, shared by all gateways."""

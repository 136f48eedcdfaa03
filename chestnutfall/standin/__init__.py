"""Small stand-ins for the outside systems: engines and a plain service."""

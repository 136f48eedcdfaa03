"""Small stand-ins for the platform's side of the wire, for the soak and tests."""

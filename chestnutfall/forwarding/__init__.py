"""Takes a call of a client to an upstream of its route and relays the answer."""

"""Forwards each client call to an upstream of its route and relays the answer."""

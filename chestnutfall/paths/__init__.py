"""Which upstreams a gateway reaches itself, and sends through another gateway for the others.

A link between one gateway and one upstream can fail while each of them is well towards all others.
The gateway then passes its sends on through a helper, a gateway that reaches the upstream.

Nothing is imported here: controllers need the messages and the ring only.
"""

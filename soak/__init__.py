"""Real programs as separate processes under random faults, checked by what clients observe."""

"""Real programs as separate processes under random faults, judged from outside."""

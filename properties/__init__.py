"""Property tests with Hypothesis, mutants of the safeguards, and ablations."""

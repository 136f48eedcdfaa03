"""Property tests (Hypothesis)."""

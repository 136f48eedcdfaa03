"""Measurements; speeds are given as slopes and as ratios within one run."""

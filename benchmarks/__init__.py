"""Benchmarks; costs are given as slopes over sizes, or as ratios within one run."""

"""Replicated control-plane state, and the service through which controllers expose it.

This package imports nothing itself. Each program loads only the modules that it names, because the
libraries of the others would double its start-up time.
"""

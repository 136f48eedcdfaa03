"""Settings of the programs, from JSON files that are validated completely at start.

This package imports nothing, so that a program loads only the modules it uses; the libraries of
the others would double its start time.
"""

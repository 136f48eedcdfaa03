"""Configuration: layers, merged sites, typed entries and validation.

This package imports nothing, so that a program loads only the modules it uses; the libraries of
the others would double its start time.
"""

"""Strict reading of JSON documents; every error is collected with its position.

This package imports nothing, so that a program loads only the modules it uses; the libraries of
the others would double its start time.
"""

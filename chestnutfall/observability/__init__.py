"""Logs, metrics and traces.

Nothing is re-exported: each output needs a library of its own, and a program that uses one of them
must start without the libraries of the others.
"""

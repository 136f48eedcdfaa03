"""Logs, metrics and traces.

This package re-exports nothing: each kind of output needs a different library, and a program that
uses one kind must start without the libraries of the others.
"""

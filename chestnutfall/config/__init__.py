"""The office's configuration: layers, merged sites, typed entries, validation.

Nothing is imported here: a program loads only the modules that it names, since the libraries of
the others would double the time that it takes to start.
"""

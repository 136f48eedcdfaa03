"""Entry points of the command-line programs."""

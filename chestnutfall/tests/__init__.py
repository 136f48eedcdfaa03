"""Tests; `python -m chestnutfall.tests` runs them and the properties."""

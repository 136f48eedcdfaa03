"""Load generator that sends requests at a set rate (open loop)."""

from __future__ import annotations

from .arrival import Arrival
from .load_plan import LoadPlan, arrivals
from .load_report import LoadReport

__all__ = ["Arrival", "LoadPlan", "LoadReport", "arrivals"]

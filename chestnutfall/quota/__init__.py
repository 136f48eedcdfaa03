"""Quotas of organisations and callers, enforced by all gateways together."""

"""Hosts module instances on the bench's wire: JSON lines in, JSON lines out, no decisions."""

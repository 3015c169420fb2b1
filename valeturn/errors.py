"""The base class of all errors that valeturn raises on purpose."""

from __future__ import annotations


class ValeturnError(Exception):
    """Something failed that the caller can name and handle; subclasses carry what failed as fields."""

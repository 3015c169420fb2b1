"""The base class of the errors that valeturn raises itself."""

from __future__ import annotations


class ValeturnError(Exception):
    """An error that a caller can handle; subclasses describe it in their attributes."""

"""What a laboratory may put in the place of the system's own, each by one place."""

from __future__ import annotations

from typing import NamedTuple


class Seams(NamedTuple):
    files: object = None  # the store's way to its folder: store.files.Files
    fleet: object = None  # clocks, links and the vote's folder: fleet.running.Seams

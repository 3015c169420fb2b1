"""What the laboratory and tests put in place of the system's own clocks, files and connections."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ..cluster.node import Seams
    from ..result_store.directory import StoreFiles


class Overrides(NamedTuple):
    """Replacements, each injected in one place; None means the system's own."""

    files: StoreFiles | None = None  # the result store's access to its directory
    fleet: Seams | None = None  # the cluster's clocks, connections and vote directory

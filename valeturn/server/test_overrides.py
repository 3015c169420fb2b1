"""Dependencies that tests and the laboratory inject in place of system clocks, files and connections."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ..cluster.node import Seams
    from ..result_store.directory import StoreFiles


class Overrides(NamedTuple):
    """Replacements for dependencies of a server; None keeps the system's own."""

    files: StoreFiles | None = None  # the files of the result store's directory
    fleet: Seams | None = None  # the cluster's clocks, connections and vote directory

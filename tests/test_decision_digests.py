"""What each decision machine returns on generated input is what it returned before the code was renamed.

The digests in `tests/golden/digests.json` were taken from the code before its first rename; see
`tests/digests/canonical.py` for why they outlive one.
"""

from __future__ import annotations

import importlib
import json
import pathlib

import pytest
from digests.canonical import Canonical

GOLDEN = json.loads((pathlib.Path(__file__).parent / "golden" / "digests.json").read_text())


@pytest.mark.parametrize(("machine", "seed"), [(m, s) for m, seeds in sorted(GOLDEN.items()) for s in seeds])
def test_machine_returns_what_it_returned_before(machine: str, seed: str) -> None:
    canonical = Canonical()
    importlib.import_module(f"digests.{machine}").play(int(seed), canonical.add)
    assert canonical.hexdigest() == GOLDEN[machine][seed]

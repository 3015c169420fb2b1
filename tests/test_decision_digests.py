"""Each decision state machine returns on generated input what it returned before the code was renamed.

The digests in `tests/golden/digests.json` were taken from the code before its first rename; see
`tests/digests/canonical.py` for why a rename does not change them.
"""

from __future__ import annotations

import importlib
import json
import pathlib

import pytest
from digests.canonical import Canonical

GOLDEN_DIGESTS = json.loads((pathlib.Path(__file__).parent / "golden" / "digests.json").read_text())


@pytest.mark.parametrize(
    ("machine", "seed"),
    [(machine, seed) for machine, seeds in sorted(GOLDEN_DIGESTS.items()) for seed in seeds],
)
def test_decisions_match_recorded_digest(machine: str, seed: str) -> None:
    canonical = Canonical()
    importlib.import_module(f"digests.{machine}").play(int(seed), canonical.add)
    assert canonical.hexdigest() == GOLDEN_DIGESTS[machine][seed]

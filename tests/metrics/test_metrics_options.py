"""The section [metrics] of the operator's file."""

from types import SimpleNamespace

import pytest

from valeturn.metrics import options
from valeturn.operator_config import schema

SECTION = "[metrics]\nfile = /var/lib/metrics.prom\n"


def test_interval_has_a_default() -> None:
    loaded, faults = schema.check(SECTION, "f", [options.SCHEMA])
    assert faults == []
    assert loaded.get("metrics").file_path == "/var/lib/metrics.prom"
    assert loaded.get("metrics").interval_s == 15.0


@pytest.mark.parametrize(
    ("memory_mb", "texts"),
    [
        (47.9, ["f:2:8: over-the-limits: metrics take 14 MB of limits.memory_mb = 47.9"]),
        (48.0, []),
    ],
)
def test_memory_limit_must_leave_room_for_the_library(memory_mb: float, texts: list[str]) -> None:
    loaded, _ = schema.check(SECTION, "f", [options.SCHEMA])
    faults = options.check_deployment(loaded.get("metrics"), SimpleNamespace(memory_mb=memory_mb))
    assert [str(fault) for fault in faults] == texts

"""The section [control] of the operator's file."""

import pytest

from valeturn.control import options
from valeturn.operator_config import schema


@pytest.mark.parametrize(
    ("length", "texts"),
    [
        (100, []),
        (101, ["f:2:10: too-long: socket wants a path of at most 100 bytes"]),
    ],
)
def test_socket_path_must_fit_into_a_socket_address(length: int, texts: list[str]) -> None:
    path = "/" + "x" * (length - 1)
    _, faults = schema.check(f"[control]\nsocket = {path}\n", "f", [options.SCHEMA])
    assert [str(fault) for fault in faults] == texts


def test_socket_path_is_read_from_the_section() -> None:
    loaded, faults = schema.check("[control]\nsocket = /run/s\n", "f", [options.SCHEMA])
    assert faults == []
    assert loaded.get("control").socket_path == "/run/s"
    assert options.check_deployment(loaded.get("control"), object()) == []

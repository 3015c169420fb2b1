"""Fencing tokens: tokens lower than the highest one received are rejected."""

import os
import pathlib
import subprocess
import sys

import pytest

from valeturn.cluster import fencing

ROOT = pathlib.Path(__file__).parents[2]


def test_file_is_replaced_under_equal_or_higher_tokens_only(tmp_path):
    file = tmp_path / "f"
    fencing.replace_file(str(file), b"one", 5)
    fencing.replace_file(str(file), b"two", 5)
    with pytest.raises(fencing.StaleTokenError) as stale:
        fencing.replace_file(str(file), b"late", 4)
    assert (stale.value.token, stale.value.highest_seen) == (4, 5)
    assert file.read_bytes() == b"two"


def test_command_refuses_lower_token_and_reads_token_from_environment(tmp_path):
    file = tmp_path / "f"
    fencing.replace_file(str(file), b"two", 5)

    def command(fence, **environment):
        return subprocess.run(
            [sys.executable, "-m", "valeturn", "fleet", "fenced-replace", str(file), *fence],
            input=b"three",
            cwd=ROOT,
            env={**os.environ, **environment},
            capture_output=True,
        )

    assert command(["--fence", "4"]).returncode == 3
    assert file.read_bytes() == b"two"
    assert command([], VALETURN_FENCE="6").returncode == 0
    assert file.read_bytes() == b"three"
    assert command(["--fence", "six"]).returncode == 2


def test_tokens_in_memory_only_rise_and_names_past_capacity_are_rejected():
    tokens = fencing.FencingTokens(2)
    assert tokens.accept("a", 3)
    assert not tokens.accept("a", 2)
    assert tokens.accept("b", 1)
    assert not tokens.accept("c", 9)
    assert tokens.rejected_count == 2

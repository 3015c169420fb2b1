"""Fixtures of all tests."""

import json
import os
import subprocess
import sys

import pytest
from loop_support import failing_scheduler
from program_support import ROOT, changed


@pytest.fixture
def scheduler():
    return failing_scheduler()


@pytest.fixture
def server(tmp_path):
    """A server with the toy's stand-ins, on loopback addresses of this process's own."""
    own = f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}.{1 + os.getpid() // 25000 % 250}"
    raw = changed("stop_ms", 2000)
    for field in ("listen", "executor", "ledger", "naming"):
        raw[field] = f"{own}:{raw[field].rpartition(':')[2]}"
    (tmp_path / "config.json").write_text(json.dumps(raw))
    toy = subprocess.Popen(
        [sys.executable, "examples/toy.py", raw["executor"], raw["ledger"], raw["naming"]],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert toy.stdout.readline() == "ready\n"
    run = subprocess.Popen(
        [sys.executable, "-m", "valeturn", "serve", "--verbose", "--config", str(tmp_path / "config.json")],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
    )
    lines = []
    while "event=welcome" not in "".join(lines):
        lines.append(run.stderr.readline())
        assert lines[-1], lines
    yield run, (own, 4100), toy
    for process in (run, toy):
        process.kill()
        process.wait()

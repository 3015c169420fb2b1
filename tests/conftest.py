"""Fixtures that several test packages use."""

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
    """Run a server with the example's executor, ledger and name service, on addresses of this test process.

    Yields the server's process, its address, and the process of the other services.
    """
    host = f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}.{1 + os.getpid() // 25000 % 250}"
    raw = changed("stop_ms", 2000)
    for field in ("listen", "executor", "ledger", "naming"):
        raw[field] = f"{host}:{raw[field].rpartition(':')[2]}"
    (tmp_path / "config.json").write_text(json.dumps(raw))
    services = subprocess.Popen(
        [sys.executable, "examples/toy.py", raw["executor"], raw["ledger"], raw["naming"]],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert services.stdout.readline() == "ready\n"
    server_process = subprocess.Popen(
        [sys.executable, "-m", "valeturn", "serve", "--verbose", "--config", str(tmp_path / "config.json")],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
    )
    lines = []
    while "event=welcome" not in "".join(lines):
        lines.append(server_process.stderr.readline())
        assert lines[-1], lines
    yield server_process, (host, 4100), services
    for process in (server_process, services):
        process.kill()
        process.wait()

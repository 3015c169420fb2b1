"""The sections [fleet] and [duty NAME] of the operator's file: which faults are found, and where."""

import pathlib
import subprocess
import sys

import pytest

from valeturn.operator_config import schema
from valeturn.server import components

ROOT = pathlib.Path(__file__).parents[2]
SCHEMAS = [module.SCHEMA for module in components.options_modules().values()]
GOOD = """[fleet]
name = lab
listen = 127.0.0.1:7700
seeds = 127.0.0.1:7701
voters = n1, n2, n3
lease = 1 s
"""


@pytest.mark.parametrize(
    ("text", "rule", "line"),
    [
        (GOOD.replace("n1, n2, n3", "n1, n2"), "even-voters", 5),
        (GOOD.replace("n1, n2, n3", "n1, n2, n1"), "doubled-name", 5),
        (GOOD.replace("1 s", "5 s"), "lease-past-suspicion", 6),
        (GOOD.replace("seeds = 127.0.0.1:7701", "seeds = 127.0.0.1:7700"), "only-itself", 4),
        (GOOD.replace("127.0.0.1:7701", "peer.example:7701"), "unreadable-value", 4),
        (GOOD + "largest = 2\n", "too-small", 7),
        (GOOD + "[duty x]\ndo = run\nfenced = number\n", "missing-key", 8),
        (GOOD + "[duty x]\ndo = run\ncommand = true\n", "unfenced", 7),
        (GOOD + "[duty x]\ndo = share-calls\ncap = 5\nevery = 1 s\n", "no-use", 10),
        (
            GOOD + "[duty x]\ndo = run\ncommand = true\nfenced = clock\nevery = 1 s\nmost = 2 s\n",
            "over-every",
            12,
        ),
    ],
)
def test_faults_of_cluster_and_task_sections_have_line_and_rule(text, rule, line):
    options, faults = schema.check(text, "v.ini", SCHEMAS)
    assert options is None and [(one.rule, one.line) for one in faults] == [(rule, line)], faults


def test_faults_beside_configuration_and_other_sections_are_found(tmp_path):
    file = tmp_path / "v.ini"

    def rules(text):
        file.write_text(text)
        words = [sys.executable, "-m", "valeturn", "check", "examples/config.json", "--settings", str(file)]
        done = subprocess.run(words, cwd=ROOT, capture_output=True, text=True)
        return [line.split(": ")[2] for line in done.stderr.splitlines()]

    duty = "[duty x]\ndo = run\ncommand = true\nfenced = clock\npatience = 900 ms\n"
    assert rules(GOOD) == []
    assert rules(GOOD.replace("127.0.0.1:7700", "127.0.0.1:4100")) == ["gateways-address"]
    assert rules(GOOD + duty) == ["patience-past-lease"]
    assert rules(duty) == ["no-fleet"]
    sharing_task = "[duty {}]\ndo = share-calls\ncap = 5\n"
    assert rules(GOOD + sharing_task.format("a") + sharing_task.format("b")) == ["doubled-duty"]

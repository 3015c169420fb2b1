"""Conditions are parsed, formatted back, and rejected with the name of the violated rule."""

import pytest
from degradation_support import NO_READINGS, condition

from valeturn.degradation.condition_tracker import ConditionTracker
from valeturn.operator_config.value_types import InvalidValueError


@pytest.mark.parametrize(
    "text",
    [
        "cores.busy > 80 % for 1 s",
        "calls.latency > 3 x usual for 2 s",
        "calls.latency > 50 ms",
        "calls.failing > 20 % for 1 s or memory > 90 % and turned_back < 10 %",
    ],
)
def test_condition_is_parsed_and_formatted_back(text):
    read = condition(text)
    assert condition(str(read)) == read


@pytest.mark.parametrize(
    ("text", "rule"),
    [
        ("cores.busy > 80", "missing-unit"),
        ("cores.busy > 80 ms", "wrong-unit"),
        ("calls.latency > 2.5 %", "wrong-unit"),
        ("calls.latency > 2 s for 1 %", "wrong-unit"),
        ("load > 1 %", "unknown-signal"),
        ("cores.busy >", "unreadable-condition"),
        ("cores.busy > 100 %", "never-holds"),
        ("memory < 0 %", "never-holds"),
        ("memory > 2 x usual", "no-usual"),
        ("calls.latency > 1 s for 2 h", "out-of-range"),
        ("calls.latency > 0 x usual", "out-of-range"),
        ("cores.busy > 80 % for 1 s and", "unreadable-condition"),
        ("", "unreadable-condition"),
    ],
)
def test_malformed_condition_is_reported_by_its_rule(text, rule):
    with pytest.raises(InvalidValueError) as raised:
        condition(text)
    assert raised.value.args[0] == rule


def test_every_comparison_is_timed_also_while_an_alternative_before_it_holds():
    """Guards against a short circuit: the second comparison missed readings while the first one held, and so
    counted as holding since before."""
    tracked = ConditionTracker(condition("memory > 90 % for 1 s or cores.busy > 80 % for 3 s"), False)
    readings = [
        (0.0, {"memory": 0.1, "cores.busy": 0.9}, False),
        (1.0, {"memory": 0.95, "cores.busy": 0.9}, False),
        (2.0, {"memory": 0.95, "cores.busy": 0.1}, True),
        (3.0, {"memory": 0.95, "cores.busy": 0.9}, True),
        (4.0, {"memory": 0.1, "cores.busy": 0.9}, False),
        (6.0, {"memory": 0.1, "cores.busy": 0.9}, True),
    ]
    for now, signals, met in readings:
        assert tracked.update(now, {**NO_READINGS, **signals}, {}) is met, now

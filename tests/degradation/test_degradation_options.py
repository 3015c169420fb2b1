"""Sections of levels are checked separately, together and in a deployment."""

import pytest
from degradation_support import LEVEL, SCHEMAS
from program_support import CONFIG, changed

from valeturn.admission.controller import MAX_RUN_MEMORY_RATIO
from valeturn.degradation import reachability
from valeturn.degradation.options import check_deployment
from valeturn.operator_config import schema
from valeturn.server import configuration

FAULTY_LEVELS = {
    LEVEL.replace("within_share = on\n", ""): (2, "gives-nothing"),
    LEVEL.replace("< 60", "< 85"): (4, "leave-overlaps-enter"),
    LEVEL.replace("< 60", "> 60"): (4, "leave-like-enter"),
    LEVEL + "turn_back = odd\n": (6, "unknown-workload"),
    LEVEL + "turn_back = quote, look-up, file\n": (6, "all-turned-back"),
    LEVEL + "turn_back = quote,,file\n": (6, "unreadable-value"),
    LEVEL + "without_call = look-up\n": (6, "not-without"),
    LEVEL + LEVEL.replace("level a", "level b"): (7, "overlapping-rank"),
    LEVEL + LEVEL.replace("level a", "level b").replace("rank = 1", "rank = 2"): (7, "no-difference"),
    LEVEL.replace("rank = 1", "rank = 0"): (2, "out-of-range"),
    LEVEL.replace("[level a]", "[level]"): (1, "label"),
}


def faults_of(text, config=CONFIG):
    options, faults = schema.check(text, "v.ini", SCHEMAS)
    return faults or check_deployment(options.get("level"), configuration.decode(config))


@pytest.mark.parametrize("text", FAULTY_LEVELS)
def test_faulty_level_is_reported_by_line_and_rule(text):
    assert [(fault.line, fault.rule) for fault in faults_of(text)] == [FAULTY_LEVELS[text]]


@pytest.mark.parametrize(
    ("enter", "why"),
    [
        ("memory > 90 %", "can't pass 85 %"),
        ("unread.wait > 1 min", "can't pass"),
        ("calls.latency > 1 min for 2 s", "can't pass"),
        ("cores.busy > 80 % and cores.busy < 60 %", "over and under"),
        ("memory > 90 % or unread.wait > 2 min", "can't pass 85 %"),
        ("memory > 90 % or cores.busy > 90 %", None),
        ("calls.latency > 9 x usual", None),
        ("cores.busy > 60 % and cores.busy < 80 %", None),
        ("memory > 80 %", None),
    ],
)
def test_unreachable_condition_is_reported_by_line(enter, why):
    text = LEVEL.replace("cores.busy < 60 %", "turned_back < 5 %").replace("cores.busy > 80 %", enter)
    reported = [(f.line, f.rule, f.text) for f in faults_of(text)]
    assert [row[:2] for row in reported] == ([] if why is None else [(3, "never-reached")])
    assert why is None or why in reported[0][2]
    assert reachability.MEMORY_MAXIMUM == MAX_RUN_MEMORY_RATIO


def test_signals_that_a_deployment_does_not_measure_are_reported():
    assert faults_of(LEVEL) == []
    one_gauge = changed("settings.domain.gauges", ["runnable"])
    assert [(f.line, f.rule) for f in faults_of(LEVEL, one_gauge)] == [(3, "no-signal"), (4, "no-signal")]
    no_calls = changed("settings.domain.calls_by_class", [False, False, False])
    text = LEVEL.replace("cores.busy > 80 %", "calls.latency > 3 x usual")
    assert [(f.line, f.rule) for f in faults_of(text, no_calls)] == [(3, "no-signal")]
    no_tenants = changed("settings.tenants", [])
    assert [(f.line, f.rule) for f in faults_of(LEVEL, no_tenants)] == [(5, "no-tenants")]

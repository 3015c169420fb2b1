"""Levels, readings and generated load for the tests of degradation."""

from valeturn.admission import interface
from valeturn.degradation.conditions import ConditionType
from valeturn.degradation.controller import DegradationLevel
from valeturn.server import components

BYPASS_CALLS = interface.ServiceReduction(bypass_call=frozenset((0,)))
REJECT_WORKLOAD = interface.ServiceReduction(rejected_workloads=frozenset((0,)))
SCHEMAS = [module.SCHEMA for module in components.options_modules().values()]
NO_READINGS = dict.fromkeys(
    ("calls.latency", "calls.failing", "cores.busy", "unread.wait", "memory", "turned_back")
)

LEVEL = "[level a]\nrank = 1\nenter = cores.busy > 80 %\nleave = cores.busy < 60 %\nwithin_share = on\n"


def condition(text):
    return ConditionType().read(text)


def three_levels(minimum_stay=2.0):
    return [
        DegradationLevel(
            "slim",
            1,
            condition("cores.busy > 80 % for 1 s"),
            condition("cores.busy < 60 % for 1 s"),
            minimum_stay,
            BYPASS_CALLS,
        ),
        DegradationLevel(
            "thin",
            2,
            condition("cores.busy > 90 % for 1 s"),
            condition("cores.busy < 70 % for 1 s"),
            minimum_stay,
            BYPASS_CALLS,
        ),
        DegradationLevel(
            "bare", 3, condition("memory > 95 %"), condition("memory < 50 %"), minimum_stay, REJECT_WORKLOAD
        ),
    ]


def play(controller, shape, seconds, start=0.0, warming_up=False):
    """Step the controller ten times a second with the signals `shape(t)`; return the timed changes."""
    changes = []
    for step in range(int(seconds * 10)):
        now = start + step / 10
        changes += [
            (now, change) for change in controller.step(now, {**NO_READINGS, **shape(now)}, {}, warming_up)
        ]
    return changes


def active_names(changes):
    return [change.after for _, change in changes]

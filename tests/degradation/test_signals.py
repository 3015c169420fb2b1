"""Measurement of the signals, and their baselines."""

from degradation_support import BYPASS_CALLS, condition
from helpers import settings

from valeturn.admission import interface
from valeturn.degradation.controller import DegradationLevel
from valeturn.degradation.signals import Signals
from valeturn.dispatch.degradation_monitor import DegradationMonitor


def test_signals_need_samples_and_stale_ones_are_missing():
    signals = Signals(0.0)
    signals.record_call(0.0, 0.1, False)
    assert signals.read(0.0)["calls.latency"] is None
    for n in range(5):
        signals.record_call(0.1, 0.3, n == 0)
    read = signals.read(0.1)
    assert 0.2 < read["calls.latency"] < 0.3
    assert 0.1 < read["calls.failing"] < 0.2
    signals.record_gauges(0.1, 0.9, None)
    assert signals.read(0.5)["cores.busy"] == 0.9
    assert signals.read(0.5)["memory"] is None
    assert signals.read(2.0)["cores.busy"] is None
    assert signals.read(9.0)["calls.latency"] is None


def test_overload_does_not_become_the_baseline():
    reducing = DegradationMonitor(
        0.0,
        [
            DegradationLevel(
                "slim",
                1,
                condition("calls.latency > 3 x usual for 1 s"),
                condition("calls.latency < 1.5 x usual for 1 s"),
                2.0,
                BYPASS_CALLS,
            )
        ],
        settings(),
        lambda *_: None,
        lambda *_: None,
    )

    def run(took, seconds, start):
        out = []
        for step in range(int(10 * seconds)):
            now = start + step / 10
            for _ in range(3):
                reducing.record_call(now, interface.Outcome.DONE, took)
            out += reducing.update(now, False)
        return out

    assert run(0.02, 30, 0.0) == []
    assert run(0.2, 60, 30.0) == [interface.LevelChanged(BYPASS_CALLS)], "ten times slower, for a minute"
    out = run(0.02, 20, 90.0)
    assert [e.reduction.exempt_share for e in out] == [0.2, 0.4, 0.6, 0.8, 0.0]
    assert out[-1] == interface.LevelChanged(interface.ServiceReduction())
    assert reducing.status_fields(110.0)["now"] == "none"
    assert reducing.status_fields(110.0)["in_slim_s"] > 50

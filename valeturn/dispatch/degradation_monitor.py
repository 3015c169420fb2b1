"""Tells the module which level of reduced service holds: measures, asks the decision, logs and counts
changes."""

from __future__ import annotations

from ..admission import interface
from ..degradation.controller import DegradationController
from ..degradation.signals import Signals

FAILED = (
    interface.Outcome.ERROR,
    interface.Outcome.TIMED_OUT,
    interface.Outcome.RESET,
    interface.Outcome.UNREACHED,
)


class DegradationMonitor:
    def __init__(self, now, levels, settings, count, log):
        self.settings, self.count, self.log = settings, count, log
        self.decision, self.signals = DegradationController(levels, now), Signals(now)
        self.times, self.since, self.why, self.swept = {}, now, "", now
        self.spared = 0.0  # as the module was told last

    def call_ended(self, now, outcome, took):
        if outcome is not interface.Outcome.CANCELLED and outcome is not interface.Outcome.MOOT:
            self.signals.record_call(now, took, outcome in FAILED)

    def gauged(self, now, gauges):
        memory = None if gauges.memory is None else gauges.memory / self.settings.memory
        self.signals.record_gauges(now, gauges.busy, memory)

    def sweep(self, now, cold):
        """The events for the module: the level that holds from now on, where it changed."""
        read = self.signals.read(now)
        name = self.decision.active_name or "none"
        self.times[name] = self.times.get(name, 0.0) + now - self.swept
        self.swept = now
        if self.decision.active_name is None:
            self.signals.learn_baselines(now, read)
        else:
            self.signals.skip_learning(now)
        told = self.told(now, self.decision.step(now, read, self.signals.baselines, cold), read)
        spared = self.decision.exempt_ratio(now)
        if spared != self.spared:
            self.count("levels.trials") if not self.spared else None
            self.spared = spared
            told = [self.event()]
        return told

    def hold(self, now, name, seconds):
        """By hand; None where there is no such level."""
        changes = self.decision.pin(now, name, seconds)
        return None if changes is None else self.told(now, changes, self.signals.read(now))

    def free(self, now):
        """None where nothing is held by hand."""
        changes = self.decision.unpin(now)
        return None if changes is None else self.told(now, changes, self.signals.read(now))

    def told(self, now, changes, read):
        for change in changes:
            self.count("levels.changes")
            self.since, self.why = now, change.reason
            known = {k: round(v, 4) for k, v in read.items() if v is not None}
            way = {"from": change.before or "none", "to": change.after or "none", "why": change.reason}
            self.log("level", {**way, **known})
        return [self.event()] if changes else []

    def event(self):
        level = self.decision.active_level()
        return interface.LevelChanged(
            interface.ServiceReduction()
            if level is None
            else level.restrictions._replace(exempt_share=self.spared)
        )

    def figures(self, now):
        """For the counters: which level, since when and why, and the seconds in each so far."""
        spent = {f"in_{name}_s": seconds for name, seconds in sorted(self.times.items())}
        name = self.decision.active_name or "none"
        now_in = {"now": name, "for_s": now - self.since, "why": self.why or "-"}
        return {**now_in, "state": self.decision.state.value, **spent}

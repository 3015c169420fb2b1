"""Feeds measurements to the degradation controller; reports, logs and counts the level's changes."""

from __future__ import annotations

from ..admission import interface
from ..degradation.controller import DegradationController
from ..degradation.signals import Signals

# Outcomes that count as failed calls.
FAILED_OUTCOMES = (
    interface.Outcome.ERROR,
    interface.Outcome.TIMED_OUT,
    interface.Outcome.RESET,
    interface.Outcome.UNREACHED,
)


class DegradationMonitor:
    """Measures the signals, lets the controller decide on the level, and returns events on its changes."""

    def __init__(self, now, levels, settings, count, log):
        self.settings, self.count, self.log = settings, count, log
        self.controller, self.signals = DegradationController(levels, now), Signals(now)
        # Seconds spent in each level so far; when and why the level changed last; time of the last update.
        self.seconds_in_level, self.changed_at, self.change_reason, self.updated_at = {}, now, "", now
        self.exempt_share = 0.0  # as reported last

    def record_call(self, now, outcome, duration):
        """Record the end of a call; one that was cancelled or never began says nothing about the ledger."""
        if outcome is not interface.Outcome.CANCELLED and outcome is not interface.Outcome.MOOT:
            self.signals.record_call(now, duration, outcome in FAILED_OUTCOMES)

    def record_gauges(self, now, gauges):
        """Record the use of CPU and memory that the executor has reported."""
        memory = None if gauges.memory is None else gauges.memory / self.settings.memory
        self.signals.record_gauges(now, gauges.busy, memory)

    def update(self, now, cold):
        """Let the controller decide by the current signals.

        Returns the events for the admission controller: the level that holds from now on, if it has changed.
        """
        readings = self.signals.read(now)
        name = self.controller.active_name or "none"
        self.seconds_in_level[name] = self.seconds_in_level.get(name, 0.0) + now - self.updated_at
        self.updated_at = now
        if self.controller.active_name is None:
            self.signals.learn_baselines(now, readings)
        else:
            self.signals.skip_learning(now)
        events = self.report_changes(
            now, self.controller.step(now, readings, self.signals.baselines, cold), readings
        )
        exempt_share = self.controller.exempt_ratio(now)
        if exempt_share != self.exempt_share:
            self.count("levels.trials") if not self.exempt_share else None
            self.exempt_share = exempt_share
            events = [self.current_event()]
        return events

    def hold(self, now, name, seconds):
        """Pin a level on an operator's request; returns the events, or None if there is no such level."""
        changes = self.controller.pin(now, name, seconds)
        return None if changes is None else self.report_changes(now, changes, self.signals.read(now))

    def release(self, now):
        """End an operator's pin; returns the events, or None if no level is pinned."""
        changes = self.controller.unpin(now)
        return None if changes is None else self.report_changes(now, changes, self.signals.read(now))

    def report_changes(self, now, changes, readings):
        """Count and log the changes with the signals that led to them; returns the events that they need."""
        for change in changes:
            self.count("levels.changes")
            self.changed_at, self.change_reason = now, change.reason
            known = {name: round(value, 4) for name, value in readings.items() if value is not None}
            transition = {"from": change.before or "none", "to": change.after or "none", "why": change.reason}
            self.log("level", {**transition, **known})
        return [self.current_event()] if changes else []

    def current_event(self):
        """Return the event that holds the active level's restrictions, or none of them without a level."""
        level = self.controller.active_level()
        return interface.LevelChanged(
            interface.ServiceReduction()
            if level is None
            else level.restrictions._replace(exempt_share=self.exempt_share)
        )

    def status_fields(self, now):
        """Return the active level, since when and why it holds, and the seconds spent in each level."""
        spent = {f"in_{name}_s": seconds for name, seconds in sorted(self.seconds_in_level.items())}
        name = self.controller.active_name or "none"
        current = {"now": name, "for_s": now - self.changed_at, "why": self.change_reason or "-"}
        return {**current, "state": self.controller.state.value, **spent}

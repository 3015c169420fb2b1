"""Tells the module how many calls this server may have out, where servers share a cap among them."""

from __future__ import annotations

from ..admission import interface

FADES = 0.7  # of the need seen last that counts at the next look: a burst is asked for some rounds longer


class CallQuotaMonitor:
    def __init__(self, usable):
        """usable() -> calls out that this server may have at this moment."""
        self.usable, self.said, self.seen = usable, None, 0.0

    def current_event(self):
        self.said = self.usable()
        return interface.CallQuotaChanged(self.said)

    def pending_events(self):
        """For each turn, so that a server that was stopped uses nothing that is over."""
        return [] if self.usable() == self.said else [self.current_event()]

    def required_calls(self, at_calls):
        """Calls out that this server could use, from those that stand there now."""
        self.seen = max(float(at_calls), FADES * self.seen)
        return self.seen

"""Reports to the admission controller this server's quota of calls, where servers share a cap among them."""

from __future__ import annotations

from ..admission import interface

# Share of the demand seen last that still counts at the next look, so that after a burst of calls this server
# goes on asking for quota for some rounds.
DEMAND_DECAY = 0.7


class CallQuotaMonitor:
    """Turns changes of the quota into events, and the use of calls into the demand for quota."""

    def __init__(self, available):
        """`available()` returns how many calls this server may have in progress now."""
        self.available, self.reported, self.demand = available, None, 0.0

    def current_event(self):
        """Return the event that holds the current quota, and remember that quota as reported."""
        self.reported = self.available()
        return interface.CallQuotaChanged(self.reported)

    def pending_events(self):
        """Return an event if the quota has changed since the last report.

        Called in every turn, so that a server whose process was stopped for a while uses no quota that has
        expired meanwhile.
        """
        return [] if self.available() == self.reported else [self.current_event()]

    def required_calls(self, at_calls):
        """Return how many calls this server could use, given how many submissions are at a call now."""
        self.demand = max(float(at_calls), DEMAND_DECAY * self.demand)
        return self.demand

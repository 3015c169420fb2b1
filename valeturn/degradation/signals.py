"""What the conditions look at, as few decaying sums, and what each signal usually is."""

from __future__ import annotations

import math

LIFE = 1.0  # s of the sums: at a hundred submissions a second noise of a tenth, and a change is seen in one
LEAST = 3.0  # calls or submissions in a sum below which a signal is not known: one bad call is no trouble
USUAL = 60.0  # s over which the usual is learnt, as the module learns what is normal
OLD = 1.0  # s after which a gauge counts as missing: ten are asked for in that time
CALLS, CALL_TIME, FAILED, READ, WAITED, BACK = range(6)


class Signals:
    def __init__(self, now):
        self.at, self.sums = now, [0.0] * 6
        self.busy = self.memory = None
        self.gauged_at = -math.inf
        self.usual, self.usual_at = {}, now

    def _fade(self, now):
        if now > self.at:
            keep = math.exp((self.at - now) / LIFE)
            self.sums, self.at = [x * keep for x in self.sums], now

    def call_ended(self, now, took, failed):
        """failed: neither delivered nor proved unrun by the caller's own doing."""
        self._fade(now)
        self.sums[CALLS] += 1
        self.sums[CALL_TIME] += took
        self.sums[FAILED] += failed

    def arrived(self, now, waited):
        self._fade(now)
        self.sums[READ] += 1
        self.sums[WAITED] += waited

    def turned_back(self, now):
        self._fade(now)
        self.sums[BACK] += 1

    def gauged(self, now, busy, memory):
        """Shares of the cores and of the memory, or None where the deployment has no such gauge."""
        self.busy, self.memory, self.gauged_at = busy, memory, now

    def read(self, now):
        """signal -> its value, None where there is too little to tell or it is old."""
        self._fade(now)
        s, fresh = self.sums, now - self.gauged_at <= OLD
        calls, read = s[CALLS] >= LEAST, s[READ] >= LEAST
        return {
            "calls.latency": s[CALL_TIME] / s[CALLS] if calls else None,
            "calls.failing": s[FAILED] / s[CALLS] if calls else None,
            "cores.busy": self.busy if fresh else None,
            "unread.wait": s[WAITED] / s[READ] if read else None,
            "memory": self.memory if fresh else None,
            "turned_back": min(1.0, s[BACK] / s[READ]) if read else None,
        }

    def learn(self, now, read):
        """To be called while no level is entered: trouble does not become usual."""
        share = 1.0 - math.exp((self.usual_at - now) / USUAL)
        self.usual_at = now
        for signal in ("calls.latency", "unread.wait"):
            if read[signal] is not None:
                before = self.usual.get(signal)
                self.usual[signal] = (
                    read[signal] if before is None else before + share * (read[signal] - before)
                )

    def rest(self, now):
        """While nothing is learnt time passes all the same."""
        self.usual_at = now

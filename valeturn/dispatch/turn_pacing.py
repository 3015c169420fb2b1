"""How long the owner of the module waits between turns: nothing while the process has CPU to spare.

Each turn looks at all that lives, whatever came; near the limit on CPU a few milliseconds' news share one.
"""

from __future__ import annotations

import time

LOOK = 0.1  # s over which the use of CPU is taken: as long as a limit on CPU holds up a process that used it
FREE = 0.65  # of the CPU that the process may use, up to which nothing waits: days without a flood stay below
MOST = 0.006  # s: at full use a dozen events share a turn, and four such waits fit well into a goal


class TurnPacing:
    def __init__(self, clock, cores, used=time.process_time):
        self.clock, self.cores, self.used = clock, cores, used
        self.at, self.before, self.share = clock(), used(), 0.0

    def pause_s(self):
        now = self.clock()
        if now - self.at >= LOOK:
            used = self.used()
            self.share += 0.5 * ((used - self.before) / ((now - self.at) * self.cores) - self.share)
            self.at, self.before = now, used
        return MOST * min(1.0, max(0.0, (self.share - FREE) / (0.95 - FREE)))

"""Pauses between the dispatcher's turns: none while the process has CPU to spare.

Each turn looks at everything that is open, however little has arrived. Near the CPU limit, what arrives in a
few milliseconds therefore shares one turn.
"""

from __future__ import annotations

import time

MEASUREMENT_PERIOD_S = 0.1  # the period for which a CPU limit throttles a process that has used it up
UNPACED_CPU_SHARE = 0.65  # of the process's CPU, up to which nothing waits: days without a flood stay below
# At full use a dozen events share a turn, and four such pauses fit well into a latency objective.
MAX_PAUSE_S = 0.006


class TurnPacing:
    """Measures the process's use of CPU and derives the pause after a turn from it."""

    def __init__(self, clock, cores, cpu_time=time.process_time):
        """`cores` may be used by the process; `cpu_time()` returns the CPU seconds used so far."""
        self.clock, self.cores, self.cpu_time = clock, cores, cpu_time
        self.measured_at, self.measured_cpu, self.share = clock(), cpu_time(), 0.0

    def pause_s(self):
        """Return the seconds to wait before the next turn, and update the measured share of CPU."""
        now = self.clock()
        if now - self.measured_at >= MEASUREMENT_PERIOD_S:
            cpu = self.cpu_time()
            # A moving average: each measurement counts for a half.
            self.share += 0.5 * (
                (cpu - self.measured_cpu) / ((now - self.measured_at) * self.cores) - self.share
            )
            self.measured_at, self.measured_cpu = now, cpu
        # The pause grows linearly and is longest from 95 % of the CPU on.
        return MAX_PAUSE_S * min(1.0, max(0.0, (self.share - UNPACED_CPU_SHARE) / (0.95 - UNPACED_CPU_SHARE)))

"""Measures the signals of conditions as exponentially decaying sums, and learns their baselines."""

from __future__ import annotations

import math

from .conditions import Readings

# Seconds in which a sum decays to 1/e: at a hundred requests per second the noise is a tenth, and a change is
# visible within a second.
DECAY_TIME = 1.0
# With fewer calls or requests in a sum its signal is unknown: a single failed call is no sign of overload.
MIN_SAMPLES = 3.0
# Time constant of the baselines in seconds, the same as in the admission controller.
BASELINE_TIME = 60.0
# Seconds after which gauges count as missing: ten reports are due in that time.
MAX_GAUGE_AGE = 1.0
# Indices of the sums; plain integers, as two of them are updated for each request.
CALLS, CALL_DURATION, FAILED_CALLS, REQUESTS, REQUEST_WAIT, REJECTIONS = range(6)
SUM_COUNT = 6

# The signals that have a baseline: the durations.
BASELINE_SIGNALS = ("calls.latency", "unread.wait")


class Signals:
    """The signals of one server.

    Attributes:
        baselines: The learnt normal values in seconds by signal; a signal without one is absent.
        sums: The decaying sums by the indices above, as of the last update.
    """

    def __init__(self, now: float) -> None:
        self.sums = [0.0] * SUM_COUNT
        self.baselines: dict[str, float] = {}
        self._decayed_at = now
        self._busy: float | None = None
        self._memory: float | None = None
        self._gauges_at = -math.inf
        self._learnt_at = now

    def _decay(self, now: float) -> None:
        if now > self._decayed_at:
            factor = math.exp((self._decayed_at - now) / DECAY_TIME)
            self.sums = [value * factor for value in self.sums]
            self._decayed_at = now

    def record_call(self, now: float, duration: float, failed: bool) -> None:
        """Record a call on the shared dependency that has ended.

        Args:
            now: The current time in seconds.
            duration: Seconds that the call took.
            failed: Whether the call failed; a cancelled call is not a failure.
        """
        self._decay(now)
        self.sums[CALLS] += 1
        self.sums[CALL_DURATION] += duration
        self.sums[FAILED_CALLS] += failed

    def record_request(self, now: float, wait: float) -> None:
        """Record a request that waited `wait` seconds before it was read."""
        self._decay(now)
        self.sums[REQUESTS] += 1
        self.sums[REQUEST_WAIT] += wait

    def record_rejection(self, now: float) -> None:
        """Record a rejected request."""
        self._decay(now)
        self.sums[REJECTIONS] += 1

    def record_gauges(self, now: float, busy: float | None, memory: float | None) -> None:
        """Record the ratios of cores and of memory in use; None where the deployment has no such gauge."""
        self._busy = busy
        self._memory = memory
        self._gauges_at = now

    def read(self, now: float) -> Readings:
        """Return the value of each signal, None where too few samples are known or the gauges are stale."""
        self._decay(now)
        sums = self.sums
        gauges_fresh = now - self._gauges_at <= MAX_GAUGE_AGE
        enough_calls = sums[CALLS] >= MIN_SAMPLES
        enough_requests = sums[REQUESTS] >= MIN_SAMPLES
        return {
            "calls.latency": sums[CALL_DURATION] / sums[CALLS] if enough_calls else None,
            "calls.failing": sums[FAILED_CALLS] / sums[CALLS] if enough_calls else None,
            "cores.busy": self._busy if gauges_fresh else None,
            "unread.wait": sums[REQUEST_WAIT] / sums[REQUESTS] if enough_requests else None,
            "memory": self._memory if gauges_fresh else None,
            # Rejections of queued requests may exceed the recent arrivals.
            "turned_back": min(1.0, sums[REJECTIONS] / sums[REQUESTS]) if enough_requests else None,
        }

    def learn_baselines(self, now: float, readings: Readings) -> None:
        """Move the baselines towards the readings.

        To be called only while no level is active, so that overload does not become the baseline.
        """
        weight = 1.0 - math.exp((self._learnt_at - now) / BASELINE_TIME)
        self._learnt_at = now
        for signal in BASELINE_SIGNALS:
            reading = readings[signal]
            if reading is None:
                continue
            baseline = self.baselines.get(signal)
            if baseline is None:
                self.baselines[signal] = reading
            else:
                self.baselines[signal] = baseline + weight * (reading - baseline)

    def skip_learning(self, now: float) -> None:
        """Advance the time without learning, so that it does not count when learning resumes."""
        self._learnt_at = now

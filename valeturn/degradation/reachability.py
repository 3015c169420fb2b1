"""Checks statically whether a condition can hold in a deployment at any load.

The command `check` reports conditions that never hold, so that this is not found out during an overload.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .conditions import Comparison, Condition

if TYPE_CHECKING:
    from ..admission.interface import Settings

# The largest ratio of the memory in use: above it the admission controller starts no requests and stores no
# results. A test checks that it equals the admission controller's own limit.
MEMORY_MAXIMUM = 0.85


def signal_maximum(signal: str, settings: Settings) -> float | None:
    """Return the largest value that a signal reaches in a deployment, or None where nothing limits it."""
    if signal == "memory":
        return MEMORY_MAXIMUM
    if signal == "unread.wait":
        # No client waits for a request that is still unread at its deadline.
        return max((workload.timeout for workload in settings.workloads), default=None)
    if signal == "calls.latency":
        return _call_latency_maximum(settings)
    return None


def _call_latency_maximum(settings: Settings) -> float | None:
    """Return the seconds after which a call is cancelled: at the deadline, or with the quota used up."""
    deadlines = [workload.timeout for workload in settings.workloads if workload.makes_call]
    if not deadlines:
        return None
    longest = max(deadlines)
    quota = settings.call_quota * settings.call_quota_window
    if 0 < quota < float("inf"):
        return min(longest, quota)
    return longest


def why_unreachable(condition: Condition, settings: Settings) -> str | None:
    """Return why the condition can never hold in a deployment, or None where it can."""
    reasons: list[str] = []
    for conjunction in condition.conjunctions:
        reason = _why_conjunction_unreachable(conjunction, settings)
        if reason is None:
            return None
        reasons.append(reason)
    return "; ".join(dict.fromkeys(reasons))


def _why_conjunction_unreachable(conjunction: tuple[Comparison, ...], settings: Settings) -> str | None:
    for comparison in conjunction:
        maximum = signal_maximum(comparison.signal, settings)
        if maximum is not None and _exceeds(comparison, maximum):
            return f"{comparison.signal} can't pass {_formatted(comparison.signal, maximum)} here"
        if any(_contradicts(comparison, other) for other in conjunction):
            return f"{comparison.signal} can't be over and under at once"
    return None


def _exceeds(comparison: Comparison, maximum: float) -> bool:
    """Return whether a comparison needs a value above the signal's maximum."""
    return comparison.above and not comparison.relative and comparison.value >= maximum


def _contradicts(comparison: Comparison, other: Comparison) -> bool:
    """Return whether a lower and an upper threshold of the same signal exclude each other."""
    same_scale = (comparison.signal, comparison.relative) == (other.signal, other.relative)
    return same_scale and comparison.above and not other.above and comparison.value >= other.value


def _formatted(signal: str, value: float) -> str:
    return f"{100 * value:g} %" if signal == "memory" else f"{value:g} s"

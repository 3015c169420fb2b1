"""Whether a condition can ever hold in a deployment, whatever the load: told by `check`, not met at night."""

from __future__ import annotations

# Of memory: the module starts and remembers nothing past it (rules.MEMORY_RUN, which a test compares).
MEMORY_MOST = 0.85


def most_of(signal, settings):
    """The most that a signal can come to, or None where nothing bounds it. settings: interface.Settings."""
    waits = [w.cut_off for w in settings.workloads]
    calls = [w.cut_off for w in settings.workloads if w.calls]
    if signal == "memory":
        return MEMORY_MOST
    if signal == "unread.wait":  # what waits longer has nobody left who waits for it
        return max(waits, default=None)
    if signal == "calls.latency":  # given up at the cut-off, or once the whole share is spent on it
        share = settings.calls_share * settings.calls_window
        return min([max(calls), *([share] if 0 < share < float("inf") else [])]) if calls else None
    return None


def unreached(condition, settings):
    """Why no row of the condition can ever hold, in words, or None where one can."""
    whys = [_row(row, settings) for row in condition.rows]
    return None if any(why is None for why in whys) else "; ".join(dict.fromkeys(whys))


def _row(row, settings):
    for one in row:
        most = most_of(one.signal, settings)
        if one.above and not one.usual and most is not None and one.value >= most:
            return f"{one.signal} can't pass {_told(one.signal, most)} here"
        for other in row:
            if (
                (one.signal, one.usual) == (other.signal, other.usual)
                and one.above
                and not other.above
                and (one.value >= other.value)
            ):
                return f"{one.signal} can't be over and under at once"
    return None


def _told(signal, value):
    return f"{100 * value:g} %" if signal == "memory" else f"{value:g} s"

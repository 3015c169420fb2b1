"""Checks a cluster's invariants from outside: from effects as they arrive and from the records of servers."""

from __future__ import annotations

from typing import NamedTuple

from ..virtual import percentile

LEADERLESS_GAP_S = 0.3  # between two records of leadership: three ticks of a leader
QUOTA_TOLERANCE = 1e-6  # calls: rounding errors in the sum of floats


class Effect(NamedTuple):
    """One effect that a command of a singleton task sent."""

    at: float  # s, boot clock
    task: str
    fencing_token: int
    server: str
    stale: bool  # a higher fencing token had been received before
    executed: bool


class EffectService:
    """Stand-in service that receives the effects of singleton tasks.

    With `check_tokens` it refuses effects under a lower fencing token than the highest one it has received;
    without, it executes all of them.
    """

    def __init__(self, clock, check_tokens=True):
        self.clock, self.check_tokens, self.highest_tokens, self.effects = clock, check_tokens, {}, []
        self.blocked_servers = {}  # server -> event; its effects are read once that is set

    async def serve(self, reader, writer):
        """Record every effect of a connection."""
        async for line in reader:
            task, fencing_token, server = line.decode().split()
            if server in self.blocked_servers:
                await self.blocked_servers[server].wait()
            fencing_token = int(fencing_token)
            stale = fencing_token < self.highest_tokens.get(task, 0)
            self.highest_tokens[task] = max(fencing_token, self.highest_tokens.get(task, 0))
            executed = not stale or not self.check_tokens
            self.effects.append(Effect(self.clock(), task, fencing_token, server, stale, executed))

    def stale_refused(self):
        """Return how many stale effects were refused."""
        return sum(one.stale and not one.executed for one in self.effects)

    def stale_executed(self):
        """Return how many stale effects were executed: each is an invariant violation."""
        return sum(one.stale and one.executed for one in self.effects)

    def tokens_shared_by_servers(self):
        """Return the fencing tokens under which more than one server sent effects of one task."""
        servers = {}
        for one in self.effects:
            servers.setdefault((one.task, one.fencing_token), set()).add(one.server)
        return [fencing_token for fencing_token, names in servers.items() if len(names) > 1]


def read_records(paths):
    """Return the records of each server as rows of words, by name; none where the file does not exist yet."""
    rows_by_name = {}
    for name, path in paths.items():
        try:
            rows_by_name[name] = [line.split() for line in path.read_text().splitlines()]
        except FileNotFoundError:
            rows_by_name[name] = []
    return rows_by_name


def leadership_records(records):
    """Return (time, term, name) of all ticks in which a server considered itself the leader, in order."""
    return sorted(
        (float(row[1]), int(row[2]), name)
        for name, rows in records.items()
        for row in rows
        if row[0] == "acts"
    )


def overlapping_leaders(leaderships):
    """Return records after one of a higher term, and those of a second leader of a term.

    There are none where the lease excludes two leaders at once.
    """
    violations, highest, leader_by_term = [], 0, {}
    for at, term, name in leaderships:
        if term < highest or leader_by_term.setdefault(term, name) != name:
            violations.append((at, term, name))
        highest = max(highest, term)
    return violations


def leaderless_gaps(leaderships):
    """Return the seconds of each period without a leader."""
    times = [at for at, _, _ in leaderships]
    return [later - earlier for earlier, later in zip(times, times[1:]) if later - earlier > LEADERLESS_GAP_S]


def quota_violations(records, boot_death_times, cap, guaranteed_quota, max_size):
    """Return (time, total) wherever all servers together might have used more calls than the cap.

    `boot_death_times` has the times, by name, at which processes of a server ended: from then on it uses
    nothing.
    """
    changes = []
    for name, rows in records.items():
        rows = [(float(row[1]), float(row[2]), float(row[3])) for row in rows if row[0] == "share"]
        usage_changes = [(at, amount) for at, amount, _ in rows]
        for index, (at, amount, valid_until) in enumerate(rows):
            next_at = rows[index + 1][0] if index + 1 < len(rows) else float("inf")
            if valid_until < next_at:
                # An expired quota falls back to the guaranteed one.
                usage_changes.append((valid_until, guaranteed_quota))
        usage_changes += [(at, 0.0) for at in boot_death_times.get(name, ())]
        changes += [(at, name, amount) for at, amount in usage_changes]
    usage, violations = {}, []
    for at, name, amount in sorted(changes):
        usage[name] = amount
        total = sum(usage.values())
        if total > cap + QUOTA_TOLERANCE:
            violations.append((at, total))
    return violations


def format_figures(figures, **prefix):
    """Return figures as a line of key=value, those of `prefix` first."""
    return " ".join(f"{key}={value}" for key, value in {**prefix, **figures}.items())


def format_percentile(values, share):
    """Return a percentile of seconds as text, "-" without values."""
    return f"{percentile(values, share):.2f}s" if values else "-"

"""Check a server from outside: compare what its gateways sent and received with what its executor ran."""

from __future__ import annotations

from typing import NamedTuple

# Outcomes of a submission. CUT: the connection ended before an answer; SILENT: no answer by the due time.
DELIVERED, TURNED_BACK, WRITTEN_OFF, CUT, SILENT = "delivered", "turned back", "written off", "cut", "silent"


class Try(NamedTuple):
    """One submission and its outcome as a gateway saw them."""

    key: str
    workload: str
    call: str
    life: int  # the server's incarnation that it was sent to
    outcome: str
    result: bytes
    answered_life: int  # the server's incarnation when the outcome was seen
    at: float  # monotonic time in seconds when the outcome was seen


class Verdict(NamedTuple):
    """The result of a check; the field names are keys of the printed report."""

    submissions: int
    effects: int  # of the workloads that must not run twice
    twice: list  # effects that happened more than once
    lost: list  # submissions that were left without an answer
    wrong: list  # second answers, rejections of what ran, and results that differ from the executor's
    answered_from_store: int  # repeats that were answered after a restart without running again

    def line(self, **more):
        """Return the figures as one line of the report, after the given ones."""
        counts = {
            "submissions": self.submissions,
            "effects": self.effects,
            "twice": len(self.twice),
            "lost": len(self.lost),
            "wrong": len(self.wrong),
            "answered_from_store": self.answered_from_store,
        }
        return " ".join(f"{key}={value}" for key, value in {**more, **counts}.items())

    def good(self):
        """Return whether no rule was broken."""
        return not (self.twice or self.lost or self.wrong)


# Workloads that must not run twice: book is deduplicated within its window, file may not be repeated at all.
AT_MOST_ONCE_WORKLOADS = ("book", "file")


# A cut connection may be seen this long before the end of its process, of which the parent is notified later.
DEATH_NOTICE_DELAY_S = 0.3


def check(tries, doubled, executor, deaths):
    """Return the verdict on the submissions of one server.

    Args:
        tries: All submissions, as Try.
        doubled: Submission ids that got two answers.
        executor: The stand-in executor, which saw every run.
        deaths: Killed incarnation -> monotonic time in seconds when its process was seen to be dead.
    """
    effects, ran = executor.effects, executor.calls
    twice = [
        (effect, count)
        for effect, count in effects.items()
        if effect[0] in AT_MOST_ONCE_WORKLOADS and count > 1
    ]
    lost = [
        one
        for one in tries
        if one.outcome == SILENT
        or one.outcome == CUT
        and (one.at < deaths.get(one.life, 1e300) - DEATH_NOTICE_DELAY_S)
    ]
    wrong, first_incarnation = [("two answers", call) for call in doubled], {}
    for one in tries:
        if one.call in ran:
            first_incarnation[one.key] = min(first_incarnation.get(one.key, one.life), one.life)
    from_store = 0
    for one in tries:
        if one.outcome == TURNED_BACK and one.call in ran:
            wrong.append(("turned back though it ran", one))
        elif one.outcome == DELIVERED:
            effect = one.workload, one.key.encode()
            expected = executor.results.get(effect)
            if not effects.get(effect) or one.workload != "quote" and one.result != expected:
                wrong.append(("another result", one, expected))
            elif (
                one.workload == "book"
                and one.call not in ran
                and first_incarnation.get(one.key, 1 << 60) < one.life
            ):
                from_store += 1
    count = sum(effects[effect] for effect in effects if effect[0] in AT_MOST_ONCE_WORKLOADS)
    return Verdict(len(tries), count, twice, lost, wrong, from_store)

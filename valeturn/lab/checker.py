"""Checks the rules from what crossed the sockets: what gateways sent and were answered, what the executor
ran."""

from __future__ import annotations

from typing import NamedTuple

DELIVERED, TURNED_BACK, WRITTEN_OFF, CUT, SILENT = "delivered", "turned back", "written off", "cut", "silent"


class Try(NamedTuple):
    """One submission as a gateway saw it."""

    key: str
    workload: str
    call: str
    life: int  # of the server, when it was sent
    outcome: str  # CUT: the connection ended first; SILENT: nothing came by the due time
    result: bytes
    answered_life: int
    at: float  # of that, monotonic s


class Verdict(NamedTuple):
    submissions: int
    effects: int
    twice: list
    lost: list
    wrong: list
    answered_from_store: int

    def line(self, **more):
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
        return not (self.twice or self.lost or self.wrong)


ONCE = ("book", "file")  # deduplicated within its window; unrepeatable


NOTICED = 0.3  # s that a cut may be seen before the end of the process is: the parent is told later


def check(tries, doubled, executor, deaths):
    """doubled: calls that got two answers. executor: the stand-in, which saw every run. deaths: life -> when
    its process was seen to be dead, of those that were killed."""
    effects, ran = executor.effects, executor.calls
    twice = [(what, count) for what, count in effects.items() if what[0] in ONCE and count > 1]
    lost = [
        one
        for one in tries
        if one.outcome == SILENT or one.outcome == CUT and (one.at < deaths.get(one.life, 1e300) - NOTICED)
    ]
    wrong, first_life = [("two answers", call) for call in doubled], {}
    for one in tries:
        if one.call in ran:
            first_life[one.key] = min(first_life.get(one.key, one.life), one.life)
    stored = 0
    for one in tries:
        if one.outcome == TURNED_BACK and one.call in ran:
            wrong.append(("turned back though it ran", one))
        elif one.outcome == DELIVERED:
            what = one.workload, one.key.encode()
            expected = executor.results.get(what)
            if not effects.get(what) or one.workload != "quote" and one.result != expected:
                wrong.append(("another result", one, expected))
            elif (
                one.workload == "book" and one.call not in ran and first_life.get(one.key, 1 << 60) < one.life
            ):
                stored += 1
    count = sum(effects[what] for what in effects if what[0] in ONCE)
    return Verdict(len(tries), count, twice, lost, wrong, stored)

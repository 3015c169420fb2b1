"""A server's part in the order of turns, on its fleet: reports, words, requests; the owner's looks."""

from __future__ import annotations

from typing import NamedTuple

from ..cluster.member_messages import ALIVE, SUSPECTED
from ..cluster.task_processes import TaskProcesses
from . import local_drain as pl
from .drain_schedule import DRAINING, EMPTY, STATES, WAITING, Order, Row, View, read_row, seen

ROUND = 0.5  # of a lease between reports
LASTS = 1.5  # leases that a word of the owner is good, from the report that it answers
MOST_ROWS = 1024  # requests at once: one for each server there may be
ROSTER = 3600.0  # s that a server which was heard of counts as one that should be there
HOOK = "turn"
DOING = {pl.DRAINS: DRAINING, pl.EMPTY: EMPTY, pl.AT_WORK: EMPTY}  # as the owner is told


class Measured(NamedTuple):
    """What a server tells of itself."""

    cores: float
    busy: float
    warm: float
    strained: bool
    answers: int


class Turns:
    def __init__(self, fleet, options, measure, drain, log):
        """measure() -> Measured. drain(): the server goes out as by the platform's notice."""
        self.fleet, self.options, self.measure, self.drain, self.log = fleet, options, measure, drain, log
        self.lasts = LASTS * fleet.options.lease
        self.place = pl.Place(fleet.clock(), self.lasts, options.patience)
        self.order, self.reports = None, {}  # of the owner; name -> View
        self.report_at = self.look_at = 0.0
        self.read_from, self.read_rows = (), []
        self.again = False  # once it has ended it is to be started anew, in place
        self.hook_ended, self.returned_told = True, False
        self.runs = TaskProcesses(fleet.scheduler, fleet.task_processes.environment, self.hook_over)
        fleet.others.append(self)

    def rows(self):
        """As far as they are known here; read once for each state of the log."""
        turns = self.fleet.facts()[1].maintenance_records
        if turns is not self.read_from:
            self.read_from, self.read_rows = turns, [read_row(row) for row in turns]
        return self.read_rows

    # ---- time

    def tick(self, now, term):
        if now >= self.report_at:
            self.report_at = now + ROUND * self.fleet.options.lease
            self.report(now)
        effect = self.place.tick(now)
        if effect is not None:
            self.log("turn_alone", {"waited": self.options.patience})
        if term is None:
            self.order = None
            return
        if self.order is None:
            self.order = Order(self.options.limits(), self.fleet.options.lease, self.lasts, now)
        if now >= self.look_at:
            self.look_at = now + ROUND * self.fleet.options.lease / 2
            self.look(now)

    def report(self, now):
        m = self.measure()
        doing = DOING.get(self.place.state, WAITING)
        fields = [
            self.place.asked(now),
            self.fleet.membership.local.generation,
            self.fleet.options.zone,
            float(m.cores),
            float(m.busy),
            float(m.warm),
            bool(m.strained),
            int(m.answers),
            doing,
            self.place.fence,
        ]
        owner = self.fleet.owner_now()
        if owner == self.fleet.name:
            self.on_report(now, owner, *fields)
        elif owner is not None:
            self.fleet.send(owner, "turn-report", fields)

    # ---- the owner

    def views(self, now):
        """All servers that should be there."""
        fleet, out = self.fleet, {}
        members = {fleet.name: fleet.membership.local, **fleet.membership.members}
        self.reports = {name: view for name, view in self.reports.items() if now - view.heard < ROSTER}
        for name in {*members, *self.reports, *(row.server for row in self.rows())}:
            member = members.get(name)
            zone, life, state = (member.zone, member.generation, member.state) if member else ("-", 0, None)
            alive = state in (ALIVE, SUSPECTED)
            out[name] = seen(name, self.reports.get(name), zone, life, alive, state == SUSPECTED)
        return out

    def look(self, now):
        owner = self.fleet.owner
        if owner.commit_index < owner.last_position().last_index:
            return  # one thing after another
        rows, facts = self.rows(), owner.state
        for fact in self.order.look(now, rows, self.views(now), facts.maintenance_held):
            if not self.fleet.propose(fact):
                return
            self.tell(fact)

    def tell(self, fact):
        if fact[0] == "turned":
            self.log("turn_over", {"server": fact[1]})
        else:
            row = read_row(fact[1])
            if row.state != WAITING or not row.passed:
                self.log(
                    "turn",
                    {"server": row.server, "state": STATES[row.state], "for": row.why, "late": row.late},
                )

    def on_report(self, now, sender, stamp, life, zone, cores, busy, warm, strained, answers, doing, fence):
        if self.order is None:
            return
        self.reports[sender] = view = View(
            sender,
            str(zone),
            int(life),
            True,
            False,
            max(0.0, float(cores)),
            min(1.0, max(0.0, float(busy))),
            min(1.0, max(0.0, float(warm))),
            strained is True,
            int(answers),
            int(doing),
            int(fence),
            now,
        )
        row = next((row for row in self.rows() if row.server == sender), None)
        verb, number = self.order.word(now, row, view)
        if self.fleet.leads(self.fleet.clock()):
            if sender == self.fleet.name:
                self.on_word(now, sender, stamp, verb, number)
            else:
                self.fleet.send(sender, "turn-word", [stamp, verb, number])

    # ---- the server

    def on_word(self, now, sender, stamp, verb, fence):
        self.place.heard(now)
        if verb == "returned":
            if not self.returned_told and self.options.returned is not None:
                self.hook(self.options.returned, int(fence))
            self.returned_told = True
            return
        effect = self.place.told(now, float(stamp), verb, int(fence))
        if effect == "drain":
            self.log("turn_out", {"fence": int(fence)})
            self.drain()

    def hook(self, command, fence):
        self.hook_ended = False
        failure = self.runs.start(HOOK, command, fence, 1.0)
        if failure is not None:
            self.hook_over(HOOK, failure)
        now = self.fleet.seams.to_boot(self.fleet.clock())
        self.runs.extend_leases(lambda name: fence, now + self.options.work)

    def hook_over(self, name, outcome):
        self.hook_ended = True
        self.log("turn_hook", outcome._asdict())

    def noticed(self):
        """The platform's notice goes first, whatever the turn."""
        self.place.notice(self.fleet.clock())

    def drained(self):
        """In the drain's own task, once all is answered: waits for the owner's word, has the work done."""
        place, clock, sleep = self.place, self.fleet.clock, self.fleet.scheduler.sleep
        if place.state != pl.DRAINS:
            return
        place.drained(clock())
        self.report_at = 0.0  # at once
        while place.state == pl.EMPTY:
            sleep(0.02)
        if place.state == pl.AT_WORK and self.options.empty is not None:
            self.hook(self.options.empty, place.fence)
            while not self.hook_ended and place.state == pl.AT_WORK:
                sleep(0.02)
        self.again = place.state == pl.GOES_BACK
        self.log("turn_ends", {"state": pl.STATES[place.state]})

    # ---- what is asked

    def ask(self, servers, why, urgent, work):
        """At any server. None once it stands in the log, or why not: waits for that in its caller's own
        task."""
        return self.until(
            [list(servers), why, bool(urgent), float(work)],
            "turn-ask",
            lambda rows: set(servers) <= {row.server for row in rows},
        )

    def take_back(self, servers):
        return self.until(
            [list(servers)],
            "turn-back",
            lambda rows: all(row.unwanted or row.state > EMPTY for row in rows if row.server in servers),
        )

    def hold(self, held):
        return self.until(
            [bool(held)], "turn-hold", lambda rows: self.fleet.facts()[1].maintenance_held == held
        )

    def until(self, fields, kind, done, patience=5.0):
        clock = self.fleet.clock
        end, asked = clock() + patience, -1e9
        while clock() < end:
            now, owner = clock(), self.fleet.owner_now()
            if done(self.rows()):
                return None
            if owner is not None and now - asked > 0.5:
                asked = now
                if owner == self.fleet.name:
                    self.KINDS[kind](self, now, owner, *fields)
                else:
                    self.fleet.send(owner, kind, fields)
            self.fleet.scheduler.sleep(0.05)
        return "no owner has taken it down; ask again"

    def on_ask(self, now, sender, servers, why, urgent, work):
        if self.order is None:
            return
        rows = {row.server: row for row in self.rows()}
        number = max([row.number for row in rows.values()], default=0)
        for server in servers:
            if isinstance(server, str) and server not in rows and len(rows) < MOST_ROWS:
                number += 1
                rows[server] = row = Row(
                    server, number, str(why)[:64], urgent is True, min(86400.0, max(1.0, float(work)))
                )
                self.fleet.propose(("turn", row.packed()))

    def on_back(self, now, sender, servers):
        for row in self.rows():
            if self.order is not None and row.server in servers and not row.unwanted:
                self.fleet.propose(("turn", row._replace(unwanted=True).packed()))

    def on_hold(self, now, sender, held):
        if self.order is not None:
            self.fleet.propose(("hold", held is True))

    KINDS = {
        "turn-report": on_report,
        "turn-word": on_word,
        "turn-ask": on_ask,
        "turn-back": on_back,
        "turn-hold": on_hold,
    }

    # ---- to be seen

    def status(self):
        now = self.fleet.clock()
        reasons = self.order.reasons if self.order is not None else {}
        _, facts, owner = self.fleet.facts()
        return {
            "held": facts.maintenance_held,
            "owner": owner,
            "here": pl.STATES[self.place.state],
            "refused": self.place.refused,
            "rows": [
                {
                    "server": row.server,
                    "state": STATES[row.state],
                    "for": row.why,
                    "urgent": row.urgent,
                    "late": row.late,
                    "unwanted": row.unwanted,
                    "fence": row.fence,
                    "work_s": row.work,
                    "why": reasons.get(row.server, ""),
                    "for_s": round(now - self.order.since[row.server][1], 1)
                    if self.order is not None and row.server in self.order.since
                    else None,
                }
                for row in sorted(self.rows(), key=lambda row: row.number)
            ],
        }

"""A simulated server of a fleet: reading uses its cores, excess concurrency slows it down, and it can drain,
crash and restart.
"""

from __future__ import annotations

from collections import deque

from ...admission import interface
from ..emulator import Run, Server
from . import history_checker
from .days import MEAN_WORK, NEVER, READ_COST_SHARE, zone_of

HANDSHAKE_S = 0.002  # core seconds for a new connection
# The slowdown for each run per core above the threshold, and the threshold.
THRASH_LOSS, THRASH_THRESHOLD = 0.7, 1.35
COLLAPSE_AFTER_S = 3.0  # seconds above max_concurrency after which the server collapses
RESTART_S = 5.0  # seconds until a collapsed server returns


class FleetServer(Server):
    """A server with a zone, incarnations, a queue of unread submissions and a drain."""

    def __init__(self, simulation, name, seed):
        self.incarnation = 0
        self.zone = zone_of(name, simulation.day.zones)
        super().__init__(simulation, name, False, seed)

    def start(self, cold):
        """Begin a new process, as a new incarnation with nothing open."""
        self.incarnation += 1
        self.unread, self.reading = deque(), {}
        self.level = self.grace_ends_at = None
        self.refusing = False
        self.overcrowded_since = NEVER
        super().start(cold)

    # ---- cores

    def speed(self):
        """Return the core seconds per second of each run, after all slowdowns."""
        cores = self.simulation.scenario.settings.cores
        excess = len(self.runs) / cores - THRASH_THRESHOLD
        return (
            super().speed() * self.simulation.speed_factor(self.name) / (1 + THRASH_LOSS * max(0.0, excess))
        )

    def wake(self):
        """Fire the periodic timer, or collapse after too long above the permitted concurrency."""
        if self.up:
            now, limit = self.simulation.now, self.max_concurrency()
            if len(self.runs) <= limit:
                self.overcrowded_since = NEVER
            elif self.overcrowded_since == NEVER:
                self.overcrowded_since = now
            elif now - self.overcrowded_since > COLLAPSE_AFTER_S:
                self.simulation.history.collapses += 1
                self.simulation.fail_server(self, silent=False)
                self.simulation.at(now + RESTART_S, self.simulation.restore_server, self, True)
                return
        super().wake()

    def max_concurrency(self):
        """Return the number of runs above which the server collapses after a while."""
        settings = self.simulation.scenario.settings
        return settings.cores * settings.max_concurrency_per_core

    # ---- arrivals

    def receive(self, attempt, new_connection):
        """Queue an attempt that reached the machine; it stays unread until a core has read it."""
        if not self.up or self.refusing:
            attempt.gateway.unreached(attempt)
            return
        attempt.incarnation, attempt.reached_at = self.incarnation, self.simulation.now
        self.simulation.at(attempt.deadline, attempt.gateway.timed_out, attempt)
        self.unread.append((attempt, READ_COST_SHARE * MEAN_WORK + HANDSHAKE_S * new_connection))
        if len(self.reading) < self.simulation.scenario.settings.cores:
            self.advance_runs()
            self.read_next()
            self.schedule_next_progress()

    def read_next(self):
        """Give the cores the next unread attempts, at most one per core."""
        while self.unread and len(self.reading) < self.simulation.scenario.settings.cores:
            attempt, work = self.unread.popleft()
            if not attempt.closed:
                self.last_number += 1
                self.reading[self.last_number] = attempt
                self.runs[self.last_number] = Run(attempt, work, None)

    def run_progressed(self, number, run):
        """Continue a run; a run that was a read hands its submission to the controller, as read from now."""
        attempt = self.reading.pop(number, None)
        if attempt is None:
            return super().run_progressed(number, run)
        self.read_next()
        if attempt.closed:
            return []
        now, request = self.simulation.now, attempt.request
        attempt.read_at, self.submissions[number] = now, attempt
        self.simulation.at(
            attempt.deadline + history_checker.DEADLINE_SLACK_S,
            self.simulation.history.check_deadline,
            attempt,
        )
        return [
            interface.Arrived(
                id=number,
                workload=request.workload,
                tenant=request.tenant,
                rank=request.rank,
                memory=8.0,
                waited=now - attempt.created_at,
                time_left=max(0.0, attempt.deadline - now),
                cost_hint=request.hint,
                caller=attempt.gateway.number,
            )
        ]

    def complete_run(self, number, run):
        """End a run, as failed where the day makes the server fail it."""
        if self.simulation.fails(self.name):
            self.simulation.record_answer(self, self.submissions.pop(number), history_checker.FAILED)
            return interface.Ended(number, interface.Outcome.ERROR, 0.0)
        return super().complete_run(number, run)

    def withdraw(self, attempt):
        """Process that the caller of an attempt has gone."""
        if not self.up or attempt.incarnation != self.incarnation or attempt.answers:
            return
        attempt.withdrawn = True
        number = next((key for key, other in self.submissions.items() if other is attempt), None)
        if number is None:
            return
        events = [interface.CallerGone(number)]
        if number in self.calls:  # the executor ends a run at its call once the caller has gone
            del self.calls[number], self.submissions[number]
            events.append(interface.Ended(number, interface.Outcome.CANCELLED, 0.0))
        elif number not in self.runs:
            del self.submissions[number]
        self.decide(events)

    # ---- actions of the controller

    def do_start(self, action):
        """Start a run, unless its submission has been withdrawn."""
        if action.id in self.submissions:
            self.simulation.history.record_start(self.submissions[action.id], self, self.simulation.now)
            super().do_start(action)

    def do_advertise_load(self, action):
        """Set the level that answers carry to the gateways."""
        self.level = action.value

    ACTION_HANDLERS = {
        **Server.ACTION_HANDLERS,
        interface.Start: do_start,
        interface.AdvertiseLoad: do_advertise_load,
    }

    # ---- drain and stop

    def open_attempts(self):
        """Return the attempts that are unread, being read or unanswered."""
        return [
            *{id(attempt): attempt for attempt in self.submissions.values()}.values(),
            *self.reading.values(),
            *(attempt for attempt, _ in self.unread),
        ]

    def start_drain(self, notice):
        """Start the drain; the process stops `notice` seconds later."""
        if self.up:
            settings = self.simulation.scenario.settings
            self.grace_ends_at = self.simulation.now + settings.drain_grace
            self.simulation.at(
                min(self.grace_ends_at, self.simulation.now + notice),
                self.refuse_connections,
                self.incarnation,
            )
            self.simulation.at(self.simulation.now + notice, self.stop, self.incarnation)
            self.decide([interface.DrainStarted(notice - 0.15)])

    def refuse_connections(self, incarnation):
        """Accept no more connections."""
        if self.incarnation == incarnation:
            self.refusing = True

    def stop(self, incarnation):
        """End the process at the end of its drain."""
        if self.up and self.incarnation == incarnation:
            self.simulation.history.record_stop(self.open_attempts())
            self.crash()

    def crash(self):
        """End the process with all open attempts; the callers see their connections break."""
        self.up = False
        for attempt in self.open_attempts():
            if not attempt.answers:
                self.simulation.at(self.simulation.now, self.break_connection, attempt)
        self.runs, self.calls, self.submissions, self.unread, self.reading = {}, {}, {}, deque(), {}

    def break_connection(self, attempt):
        """Let the gateway see its connection break, unless a partition hides it."""
        if not self.simulation.is_cut_off(attempt.gateway, self):
            attempt.gateway.on_connection_broken(attempt)

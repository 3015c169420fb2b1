"""Counts what the four rules forbid, from what was done alone: it asks neither module nor server."""

from __future__ import annotations

SLACK = 0.1  # s over a due time, as the settings state and the protocol adds
DELIVERED, TURNED_BACK, WRITTEN_OFF = "delivered", "turned back", "written off"


class Witness:
    def __init__(self):
        self.lost = self.twice = self.answered_twice = self.late_in_drain = self.back_after_run = 0
        self.fell = 0
        self.answers = {DELIVERED: 0, TURNED_BACK: 0, WRITTEN_OFF: 0}

    def answered(self, attempt, how):
        attempt.answers += 1
        self.answers[how] += 1
        self.answered_twice += attempt.answers > 1
        self.back_after_run += how == TURNED_BACK and attempt.started and attempt.asked.once

    def began(self, attempt, server, now):
        attempt.started = True
        attempt.asked.begun += 1
        self.twice += attempt.asked.once and attempt.asked.begun > 1
        self.late_in_drain += server.grace_over is not None and attempt.reached_at > server.grace_over

    def due(self, attempt):
        """Its time is up, slack and all: it was read by a server that lives, nobody took it back, and the
        caller could have been told."""
        if (
            attempt.read_at is not None
            and not attempt.answers
            and not attempt.taken_back
            and (attempt.life == attempt.server.life and attempt.server.up)
        ):
            self.lost += 1

    def stopped(self, open_ones):
        """A server ended by itself with these still owed an answer."""
        self.lost += sum(
            one.read_at is not None and not one.answers and not one.taken_back for one in open_ones
        )

    def broken(self):
        return (
            self.lost
            + self.twice
            + self.answered_twice
            + self.late_in_drain
            + self.back_after_run
            + self.fell
        )

    def line(self):
        return (
            f"lost={self.lost} twice={self.twice} answered_twice={self.answered_twice} "
            f"turned_back_once_run={self.back_after_run} run_after_grace={self.late_in_drain} "
            f"fell={self.fell}"
        )

"""Counts violations of the guarantees from recorded actions alone, independent of controller and server.

Each submission that a server reads is answered, and only once; an unrepeatable one runs at most once and is
not rejected after its start; one that arrives after the drain grace is not started. A server that collapses
under its concurrency counts as a violation too.
"""

from __future__ import annotations

DEADLINE_SLACK_S = 0.1  # seconds past a deadline: the settings' answer_slack, which the protocol adds
DELIVERED, REJECTED, FAILED = "delivered", "turned back", "written off"


class HistoryChecker:
    """Counts answers and violations over one simulated day."""

    def __init__(self):
        self.lost = self.repeated_runs = self.answered_twice = self.started_after_grace = (
            self.rejected_after_start
        ) = 0
        self.collapses = 0
        self.answers = {DELIVERED: 0, REJECTED: 0, FAILED: 0}

    def record_answer(self, attempt, answer):
        """Record an answer to an attempt; `answer` is one of the three constants above."""
        attempt.answers += 1
        self.answers[answer] += 1
        self.answered_twice += attempt.answers > 1
        self.rejected_after_start += answer == REJECTED and attempt.started and attempt.request.unrepeatable

    def record_start(self, attempt, server, now):
        """Record that a server started an execution."""
        attempt.started = True
        attempt.request.runs_started += 1
        self.repeated_runs += attempt.request.unrepeatable and attempt.request.runs_started > 1
        self.started_after_grace += (
            server.grace_ends_at is not None and attempt.reached_at > server.grace_ends_at
        )

    def check_deadline(self, attempt):
        """Count an attempt as lost if its deadline and slack have passed without an answer.

        It counts only if a server process that is still alive had read it and it was not withdrawn.
        """
        if (
            attempt.read_at is not None
            and not attempt.answers
            and not attempt.withdrawn
            and (attempt.incarnation == attempt.server.incarnation and attempt.server.up)
        ):
            self.lost += 1

    def record_stop(self, open_attempts):
        """Count the attempts that a server left unanswered when it stopped after its drain."""
        self.lost += sum(
            attempt.read_at is not None and not attempt.answers and not attempt.withdrawn
            for attempt in open_attempts
        )

    def violation_count(self):
        """Return the number of violations of any kind."""
        return (
            self.lost
            + self.repeated_runs
            + self.answered_twice
            + self.started_after_grace
            + self.rejected_after_start
            + self.collapses
        )

    def summary(self):
        """Return the violations as one line of key=value fields."""
        return (
            f"lost={self.lost} twice={self.repeated_runs} answered_twice={self.answered_twice} "
            f"turned_back_once_run={self.rejected_after_start} run_after_grace={self.started_after_grace} "
            f"fell={self.collapses}"
        )

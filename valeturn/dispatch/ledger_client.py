"""Calls to the ledger: each on a connection of its own, and never retried by this client."""

from __future__ import annotations

from ..admission.interface import Outcome
from ..protocol import http
from ..transport.streams import StreamFault
from .http_exchange import Failure, Stage, exchange
from .messages import CallFinished


def outcome_of(result):
    """Return what an exchange proves about the call, by the answer's status or by how it failed."""
    if isinstance(result, Failure):
        if result.stage is Stage.UNSENT:
            return Outcome.UNREACHED
        return Outcome.TIMED_OUT if result.fault is StreamFault.TIMED_OUT else Outcome.RESET
    if isinstance(result, http.Malformed):
        return Outcome.RESET
    if result.status == 200:
        return Outcome.DONE
    if result.headers.get("x-untouched") == "1":
        return Outcome.MOOT if result.status == 409 else Outcome.REFUSED
    return Outcome.TIMED_OUT if result.status == 504 else Outcome.ERROR


class LedgerClient:
    """Makes at most `max_calls` calls at a time; each that ends is passed to `put` as a CallFinished."""

    def __init__(self, scheduler, address, max_calls, put, count):
        self.scheduler, self.max_calls, self.put, self.count = scheduler, max_calls, put, count
        self.tasks = {}  # number of the submission -> task of its call
        self.set_address(address)

    def set_address(self, address):
        """Send new calls to this address; calls in progress keep their connections."""
        self.address, self.host = address, f"{address[0]}:{address[1]}"

    def call(self, number, attempt, reference, timeout, body):
        """Start a call for a submission, cancelling its previous one; `timeout` is in seconds."""
        self.cancel(number)
        if len(self.tasks) >= self.max_calls:
            self.count("ledger.over_bound")
            finished = CallFinished(number, attempt, Outcome.UNREACHED, 0.0, b"")
            self.scheduler.spawn(self.put, finished, name="bound")
            return
        self.tasks[number] = self.scheduler.spawn(
            self._run, number, attempt, reference, timeout, body, name="call"
        )

    def cancel(self, number):
        """Cancel a submission's call, if there is one; no CallFinished follows.

        The end of the task closes the connection, which the ledger notices.
        """
        task = self.tasks.pop(number, None)
        if task is not None:
            self.count("ledger.given_up")
            self.scheduler.cancel(task)

    def _run(self, number, attempt, reference, timeout, body):
        """Make one call and put its end; runs as a task."""
        started_at, outcome, reply = self.scheduler.clock(), Outcome.RESET, b""
        headers = [("X-Txn-Ref", reference), ("X-Limit-Ms", str(max(1, round(1000 * timeout))))]
        try:
            request = http.request("POST", "/post", self.host, headers, body)
            result = exchange(self.scheduler, self.address, request, started_at + timeout)
            outcome = outcome_of(result)
            self.count("ledger." + outcome.name.lower())
            if isinstance(result, Failure):
                self.count(f"ledger.{result.stage.name.lower()}.{result.fault.name.lower()}")
            elif isinstance(result, http.Malformed):
                self.count("ledger.malformed")
            reply = result.body if outcome is Outcome.DONE else b""
        finally:
            # After an exception too: otherwise the run would wait at its call, and use a share of the call
            # quota, until its deadline. A cancelled call is no longer in `tasks` and reports nothing.
            if self.tasks.get(number) is self.scheduler.current():
                del self.tasks[number]
                self.put(CallFinished(number, attempt, outcome, self.scheduler.clock() - started_at, reply))

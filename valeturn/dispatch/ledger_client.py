"""Calls to the ledger: each on a connection of its own, never sent again from here."""

from __future__ import annotations

from ..admission.interface import Outcome
from ..protocol import http
from ..transport.streams import StreamFault
from .http_exchange import Failure, Stage, exchange
from .messages import CallFinished


def outcome_of(end):
    """What an attempt proves: an answer's status, or how far it came and what stopped it."""
    if isinstance(end, Failure):
        if end.stage is Stage.UNSENT:
            return Outcome.UNREACHED
        return Outcome.TIMED_OUT if end.fault is StreamFault.TIMED_OUT else Outcome.RESET
    if isinstance(end, http.Malformed):
        return Outcome.RESET
    if end.status == 200:
        return Outcome.DONE
    if end.headers.get("x-untouched") == "1":
        return Outcome.MOOT if end.status == 409 else Outcome.REFUSED
    return Outcome.TIMED_OUT if end.status == 504 else Outcome.ERROR


class LedgerClient:
    def __init__(self, scheduler, address, most, put, count):
        self.scheduler, self.most, self.put, self.count = scheduler, most, put, count
        self.out = {}  # submission -> task
        self.move(address)

    def move(self, address):
        """Calls go to this address from now on; those that are out end where they are."""
        self.address, self.host = address, f"{address[0]}:{address[1]}"

    def call(self, number, attempt, reference, wait, body):
        self.cancel(number)
        if len(self.out) >= self.most:
            self.count("ledger.over_bound")
            over = CallFinished(number, attempt, Outcome.UNREACHED, 0.0, b"")
            self.scheduler.spawn(self.put, over, name="bound")
            return
        self.out[number] = self.scheduler.spawn(
            self._run, number, attempt, reference, wait, body, name="call"
        )

    def cancel(self, number):
        """The task's end closes the connection, which tells the ledger; nothing more is reported of it."""
        task = self.out.pop(number, None)
        if task is not None:
            self.count("ledger.given_up")
            self.scheduler.cancel(task)

    def _run(self, number, attempt, reference, wait, body):
        began, outcome, reply = self.scheduler.clock(), Outcome.RESET, b""
        head = [("X-Txn-Ref", reference), ("X-Limit-Ms", str(max(1, round(1000 * wait))))]
        try:
            request = http.request("POST", "/post", self.host, head, body)
            end = exchange(self.scheduler, self.address, request, began + wait)
            outcome = outcome_of(end)
            self.count("ledger." + outcome.name.lower())
            if isinstance(end, Failure):
                self.count(f"ledger.{end.stage.name.lower()}.{end.fault.name.lower()}")
            elif isinstance(end, http.Malformed):
                self.count("ledger.malformed")
            reply = end.body if outcome is Outcome.DONE else b""
        finally:
            # After a fault too: the run would stand at its call, and hold a share of calls, until it is due.
            # One that was given up has no place any more, and nothing is to be told of it.
            if self.out.get(number) is self.scheduler.current():
                del self.out[number]
                self.put(CallFinished(number, attempt, outcome, self.scheduler.clock() - began, reply))

"""Calls to the ledger: pooled connections, one call at a time on each, never sent again by the pool."""

from __future__ import annotations

from ..interface import Outcome
from ..protocol import http
from ..transport.streams import Trouble, connect
from .exchange import Failure, Stage, exchange
from .messages import CallOver

KEPT = 16  # unused connections kept: more calls at once than one server's share has been seen to allow
IDLE = 5.0  # s unused until one is dropped: half of the ledger's own idle close, so that none breaks in use


def outcome_of(end):
    """What an attempt proves: an answer's status, or how far it came and what stopped it."""
    if isinstance(end, Failure):
        if end.stage is Stage.UNSENT:
            return Outcome.UNREACHED
        return Outcome.TIMED_OUT if end.trouble is Trouble.TIMED_OUT else Outcome.RESET
    if end.status == 200:
        return Outcome.DONE
    if end.headers.get("x-untouched") == "1":
        return Outcome.MOOT if end.status == 409 else Outcome.REFUSED
    return Outcome.TIMED_OUT if end.status == 504 else Outcome.ERROR


class Ledger:
    def __init__(self, scheduler, address, most, put, count):
        self.scheduler, self.address, self.most, self.put, self.count = scheduler, address, most, put, count
        self.host = f"{address[0]}:{address[1]}"
        self.kept = []  # (stream, since when unused), the latest last
        self.out = {}  # submission -> (task, stream or None)

    def call(self, number, attempt, reference, wait, body):
        self.give_up(number)
        if len(self.out) >= self.most:
            self.count("ledger.over_bound")
            over = CallOver(number, attempt, Outcome.UNREACHED, 0.0, b"")
            self.scheduler.spawn(self.put, over, name="bound")
            return
        entry = self.out[number] = [None, None]
        entry[0] = self.scheduler.spawn(self._run, entry, number, attempt, reference, wait, body, name="call")

    def give_up(self, number):
        """Closing the connection tells the ledger; nothing more is reported of that call."""
        task, stream = self.out.pop(number, (None, None))
        if task is not None:
            self.count("ledger.given_up")
            self.scheduler.cancel(task)
            if stream is not None:
                stream.close()

    def _run(self, entry, number, attempt, reference, wait, body):
        began = self.scheduler.clock()
        head = [("X-Txn-Ref", reference), ("X-Limit-Ms", str(max(1, round(1000 * wait))))]
        end = self._attempt(entry, began + wait, http.request("POST", "/post", self.host, head, body))
        outcome = outcome_of(end)
        self.out.pop(number, None)
        self.count("ledger." + outcome.name.lower())
        if isinstance(end, Failure):
            self.count(f"ledger.{end.stage.name.lower()}.{end.trouble.name.lower()}")
        reply = end.body if outcome is Outcome.DONE else b""
        self.put(CallOver(number, attempt, outcome, self.scheduler.clock() - began, reply))

    def _attempt(self, entry, until, data):
        stream = self._unused()
        if stream is None:
            stream = connect(self.scheduler, self.address, until - self.scheduler.clock())
            if isinstance(stream, Trouble):
                return Failure(Stage.UNSENT, stream)
            self.count("ledger.connections")
        entry[1] = stream
        answer = exchange(self.scheduler, stream, data, until)
        if isinstance(answer, Failure):
            stream.close()
            return answer
        if isinstance(answer, http.Malformed):
            self.count("ledger.malformed")
            stream.close()
            return Failure(Stage.PARTLY_ANSWERED, Trouble.RESET)
        if answer.keep and len(self.kept) < KEPT:
            self.kept.append((stream, self.scheduler.clock()))
        else:
            stream.close()
        return answer

    def _unused(self):
        """The connection used last; those unused for too long, or closed by the ledger, are dropped."""
        while self.kept:
            stream, since = self.kept.pop()
            if self.scheduler.clock() - since < IDLE and stream.quiet():
                return stream
            stream.close()
        return None

    def drop_unused(self):
        now = self.scheduler.clock()
        for stream, since in self.kept:
            if now - since >= IDLE:
                stream.close()
        self.kept = [(stream, since) for stream, since in self.kept if now - since < IDLE]

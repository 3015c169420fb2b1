"""Reports to the name service, all the time the server lives, whatever else goes on."""

from __future__ import annotations

from ..protocol import http
from ..transport.chance import Backoff
from .exchange import Failure, Stage, exchange

EVERY = 0.7  # s between reports: four fit into the 3 s after which a silent server leaves the list
PATIENCE = 0.5  # s for one: with EVERY less than half of the 3 s, so that one hung report leaves room for two


class Reporter:
    def __init__(self, scheduler, address, name, chance, count):
        self.scheduler, self.name, self.count = scheduler, name, count
        self.backoff = Backoff(chance, 0.05, EVERY)
        self.serving = self.idle = self.again = False
        self.reported_at = scheduler.clock()  # the last that may have counted
        self.move(address)
        self.task = scheduler.spawn(self.run, name="naming")

    def move(self, address):
        """Reports go to this address from now on, the first at once."""
        self.address, self.host = address, f"{address[0]}:{address[1]}"
        self.report_now()

    def tell(self, serving):
        """A change is reported at once, or right after the report that is on its way."""
        if serving != self.serving:
            self.serving = serving
            self.report_now()

    def report_now(self):
        self.again = True
        if self.idle:
            self.scheduler.wake(self.task)

    def run(self):
        while True:
            self.again = False
            sent = self.report()
            if sent:
                self.reported_at = self.scheduler.clock()
                self.backoff.reset()
            if not self.again:
                self.idle = True
                self.scheduler.wait(EVERY if sent else self.backoff.next())
                self.idle = False

    def report(self):
        """True where it may have counted: one that was sent whole and then met silence counts as sent."""
        body = b'{"serving":"%s"}' % (b"yes" if self.serving else b"no")
        head = [("Content-Type", "application/json")]
        request = http.request("PUT", f"/ns/hosts/{self.name}", self.host, head, body)
        end = exchange(self.scheduler, self.address, request, self.scheduler.clock() + PATIENCE)
        if isinstance(end, http.Answer) and end.status == 204:
            self.count("naming.reports")
            return True
        silent = isinstance(end, Failure) and end.stage is Stage.SENT
        self.count("naming.unanswered" if silent else "naming.failed")
        return silent

"""Reports to the name service, all the time the server lives, whatever else goes on."""

from __future__ import annotations

from ..protocol import http
from ..transport.backoff import Backoff
from .http_exchange import Failure, Stage, exchange

EVERY = 0.7  # s between reports at most: four fit into the 3 s after which a silent server leaves the list
APART = 0.2  # of it by chance: hundreds of servers that start at one moment do not report in step for ever
PATIENCE = 0.5  # s for one: with EVERY less than half of the 3 s, so that one hung report leaves room for two


class RegistryClient:
    def __init__(self, scheduler, address, name, random_source, count):
        self.scheduler, self.name, self.count = scheduler, name, count
        self.random_source, self.backoff = random_source, Backoff(random_source, 0.05, EVERY)
        self.serving = self.idle = self.again = False
        self.reported_at = scheduler.clock()  # the last that may have counted
        self.move(address)
        self.task = scheduler.spawn_supervised(self.run, name="naming")

    def move(self, address):
        """Reports go to this address from now on, the first at once."""
        self.address, self.host = address, f"{address[0]}:{address[1]}"
        self.report_now()

    def set_serving(self, serving):
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
                self.scheduler.wait(self.every() if sent else self.backoff.next())
                self.idle = False

    def every(self):
        return EVERY * (1 - APART * self.random_source.random())

    def report(self):
        """True where it may have counted: one that was sent whole and then met silence counts as sent."""
        body = b'{"serving":"%s"}' % (b"yes" if self.serving else b"no")
        head = [("Content-Type", "application/json")]
        request = http.request("PUT", f"/ns/hosts/{self.name}", self.host, head, body)
        end = exchange(self.scheduler, self.address, request, self.scheduler.clock() + PATIENCE)
        if isinstance(end, http.Response) and end.status == 204:
            self.count("naming.reports")
            return True
        silent = isinstance(end, Failure) and end.stage is Stage.SENT
        self.count("naming.unanswered" if silent else "naming.failed")
        return silent

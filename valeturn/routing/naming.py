"""Reports to the name service, all the time the server lives, whatever else goes on."""

from __future__ import annotations

from ..protocol import http
from ..transport.chance import Backoff
from ..transport.streams import Trouble, connect
from .exchange import exchange

EVERY = 0.7  # s between reports: four fit into the 3 s after which a silent server leaves the list
PATIENCE = 0.6  # s for one: a hung report leaves time for the next within the 3 s


class Reporter:
    def __init__(self, scheduler, address, name, chance, count):
        self.scheduler, self.address, self.name, self.count = scheduler, address, name, count
        self.backoff = Backoff(chance, 0.05, EVERY)
        self.host, self.stream, self.serving, self.idle = f"{address[0]}:{address[1]}", None, False, False
        self.task = scheduler.spawn(self.run, name="naming")

    def tell(self, serving):
        """A change is reported at once, or right after the report that is on its way."""
        if serving != self.serving:
            self.serving = serving
            if self.idle:
                self.scheduler.wake(self.task)

    def run(self):
        while True:
            serving = self.serving
            good = self.report()
            self.count("naming.reports" if good else "naming.failed")
            if good:
                self.backoff.reset()
            if not good or serving == self.serving:
                self.idle = True
                self.scheduler.wait(EVERY if good else self.backoff.next())
                self.idle = False

    def report(self):
        until = self.scheduler.clock() + PATIENCE
        if self.stream is not None and not self.stream.quiet():
            self.stream.close()
            self.stream = None
        if self.stream is None:
            made = connect(self.scheduler, self.address, PATIENCE)
            if isinstance(made, Trouble):
                return False
            self.stream = made
        body = b'{"serving":"%s"}' % (b"yes" if self.serving else b"no")
        head = [("Content-Type", "application/json")]
        request = http.request("PUT", f"/ns/hosts/{self.name}", self.host, head, body)
        answer = exchange(self.scheduler, self.stream, request, until)
        if not isinstance(answer, http.Answer) or not answer.keep:
            self.stream.close()
            self.stream = None
        return isinstance(answer, http.Answer) and answer.status == 204

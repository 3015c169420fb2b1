"""Reports to the name service, periodically for as long as the server lives."""

from __future__ import annotations

from ..protocol import http
from ..transport.backoff import Backoff
from .http_exchange import Failure, Stage, exchange

# The name service drops a server that was silent for 3 s: four reports fit into that time.
MAX_REPORT_INTERVAL_S = 0.7
# Share of the interval that is random, so that hundreds of servers started at one moment don't stay in step.
INTERVAL_JITTER = 0.2
# Together with the interval less than half of the 3 s, so that one hung report leaves room for two more.
REPORT_TIMEOUT_S = 0.5


class RegistryClient:
    """Reports whether this server serves: at once when that changes, and otherwise periodically."""

    def __init__(self, scheduler, address, name, random_source, count):
        self.scheduler, self.name, self.count = scheduler, name, count
        self.random_source, self.backoff = random_source, Backoff(random_source, 0.05, MAX_REPORT_INTERVAL_S)
        # Whether the server serves; whether the task waits for the next report; whether one is due at once.
        self.serving = self.waiting = self.report_due = False
        self.reported_at = scheduler.clock()  # time of the last report that may have counted
        self.set_address(address)
        self.task = scheduler.spawn_supervised(self.run, name="naming")

    def set_address(self, address):
        """Send reports to this address from now on, the first one at once."""
        self.address, self.host = address, f"{address[0]}:{address[1]}"
        self.report_now()

    def set_serving(self, serving):
        """Report a change at once, or right after the report that is under way."""
        if serving != self.serving:
            self.serving = serving
            self.report_now()

    def report_now(self):
        """Make the next report due, and wake the task if it waits."""
        self.report_due = True
        if self.waiting:
            self.scheduler.wake(self.task)

    def run(self):
        """Report for ever; runs as a supervised task."""
        while True:
            self.report_due = False
            counted = self.report()
            if counted:
                self.reported_at = self.scheduler.clock()
                self.backoff.reset()
            if not self.report_due:
                self.waiting = True
                self.scheduler.wait(self.next_interval() if counted else self.backoff.next())
                self.waiting = False

    def next_interval(self):
        """Return the seconds until the next report, spread at random."""
        return MAX_REPORT_INTERVAL_S * (1 - INTERVAL_JITTER * self.random_source.random())

    def report(self):
        """Send one report; returns whether it may have counted.

        One that was sent whole and got no answer may have been received.
        """
        body = b'{"serving":"%s"}' % (b"yes" if self.serving else b"no")
        headers = [("Content-Type", "application/json")]
        request = http.request("PUT", f"/ns/hosts/{self.name}", self.host, headers, body)
        result = exchange(self.scheduler, self.address, request, self.scheduler.clock() + REPORT_TIMEOUT_S)
        if isinstance(result, http.Response) and result.status == 204:
            self.count("naming.reports")
            return True
        unanswered = isinstance(result, Failure) and result.stage is Stage.SENT
        self.count("naming.unanswered" if unanswered else "naming.failed")
        return unanswered

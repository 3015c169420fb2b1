"""Metrics as a part of the server: a file that is replaced whole, and an answer on the control socket."""

from __future__ import annotations

from ...control import answers, requests
from ...metrics.text import Metrics
from . import Part as Base


class Part(Base):
    def start(self):
        self.metrics = Metrics(self.server.status)
        self.server.scheduler.spawn(self.write, name="metrics")

    def write(self):
        while True:
            try:
                self.metrics.write(self.built.file)
                self.server.counters.add("metrics.written")
            except OSError as error:
                self.server.counters.add("metrics.failed")
                self.server.log("metrics_not_written", {"file": self.built.file, "why": str(error)})
            self.server.scheduler.sleep(self.built.every)

    def answer(self, request):
        if isinstance(request, requests.MetricsRequest):
            return answers.encode_success(text=self.metrics.text().decode())
        return None

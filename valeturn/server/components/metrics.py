"""Metrics as a part of the server: a file that is replaced whole, and an answer on the control socket."""

from __future__ import annotations

from ...control import answers, requests
from ...metrics.exposition import MetricsExporter
from . import Part as Base


class Part(Base):
    def start(self):
        self.metrics = MetricsExporter(self.server.status.report)
        self.server.scheduler.spawn(self.write, name="metrics")

    def write(self):
        while True:
            try:
                self.metrics.write_file(self.built.file_path)
                self.server.counters.add("metrics.written")
            except OSError as error:
                self.server.counters.add("metrics.write_failed")
                self.server.log("metrics_write_failed", {"file": self.built.file_path, "reason": str(error)})
            self.server.scheduler.sleep(self.built.interval_s)

    def answer(self, request):
        if isinstance(request, requests.MetricsRequest):
            return answers.encode_success(text=self.metrics.render().decode())
        return None

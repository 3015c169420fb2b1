"""Runs the metrics as a component of the server: a file that is rewritten, and a control request."""

from __future__ import annotations

from ...control import answers, requests
from ...metrics.exposition import MetricsExporter
from . import Component as BaseComponent


class Component(BaseComponent):
    """Writes the metrics to a file at the configured interval, and answers requests for them."""

    metrics: MetricsExporter

    def start(self) -> None:
        """Start the task that writes the file."""
        self.metrics = MetricsExporter(self.server.status.report)
        self.server.scheduler.spawn(self.write_periodically, name="metrics")

    def write_periodically(self) -> None:
        """Write the file at the configured interval; runs as a task. A failure is counted and logged."""
        while True:
            try:
                self.metrics.write_file(self.options.file_path)
                self.server.counters.add("metrics.written")
            except OSError as error:
                self.server.counters.add("metrics.write_failed")
                fields = {"file": self.options.file_path, "reason": str(error)}
                self.server.log("metrics_write_failed", fields)
            self.server.scheduler.sleep(self.options.interval_s)

    def answer(self, request: requests.ControlRequest) -> bytes | None:
        """Answer a request for the metrics."""
        if isinstance(request, requests.MetricsRequest):
            return answers.encode_success(text=self.metrics.render().decode())
        return None

"""The degradation levels as a component of the server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ...control import answers, requests
from ...degradation.options import build_levels
from ...dispatch.degradation_monitor import DegradationMonitor
from ...dispatch.messages import DeferredEvent
from . import Component as BaseComponent

if TYPE_CHECKING:
    from ..server import Server


class Component(BaseComponent):
    """Measures, decides on the level, and tells the dispatcher of each change."""

    applies_changes = True

    def __init__(self, server: Server, options: Any) -> None:  # noqa: ANN401 - as the base class
        super().__init__(server, options)
        names = server.configuration.names
        levels = build_levels(options, names)
        now = server.scheduler.clock()
        self.monitor = DegradationMonitor(now, levels, names.settings, server.counters.add, server.log)

    def _figures(self) -> dict[str, Any]:
        figures: dict[str, Any] = self.monitor.status_fields(self.server.scheduler.clock())
        return figures

    def status(self) -> dict[str, Any]:
        """Return the level that is active, since when and why."""
        return {"level": self._figures()}

    def counters(self) -> dict[str, Any]:
        """Return the same as the status."""
        return {"level": self._figures()}

    def apply(self, options: Any) -> None:  # noqa: ANN401 - as the base class
        """Replace the levels; what the active level restricts may have changed."""
        self.options = options
        self.monitor.decision.configure(build_levels(options, self.server.configuration.names))
        self.server.dispatcher.put(DeferredEvent(self.monitor.current_event()))

    def answer(self, request: requests.ControlRequest) -> bytes | None:
        """Hold or release a level; nothing about requests is decided here."""
        now = self.server.scheduler.clock()
        if isinstance(request, requests.HoldLevelRequest):
            told = self.monitor.hold(now, request.level, request.seconds)
            reason = f"no level {request.level}"
        elif isinstance(request, requests.ReleaseLevelRequest):
            told = self.monitor.release(now)
            reason = "no level is held by hand"
        else:
            return None
        if told is None:
            return answers.encode_rejection(reason)
        for event in told:
            self.server.dispatcher.mailbox.push(DeferredEvent(event))
        return answers.encode_success()

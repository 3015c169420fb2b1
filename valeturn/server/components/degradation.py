"""Runs the degradation levels as a component of the server."""

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
    """Owns the monitor that decides on the level, and passes changes by operators to the dispatcher."""

    applies_changes = True

    def __init__(self, server: Server, options: Any) -> None:  # noqa: ANN401 - as the base class
        super().__init__(server, options)
        names = server.configuration.names
        levels = build_levels(options, names)
        now = server.scheduler.clock()
        self.monitor = DegradationMonitor(now, levels, names.settings, server.counters.add, server.log)

    def _level_status(self) -> dict[str, Any]:
        fields: dict[str, Any] = self.monitor.status_fields(self.server.scheduler.clock())
        return fields

    def status(self) -> dict[str, Any]:
        """Return the active level, since when it is active and why."""
        return {"level": self._level_status()}

    def counters(self) -> dict[str, Any]:
        """Return the same fields as the status, for the log."""
        return {"level": self._level_status()}

    def apply(self, options: Any) -> None:  # noqa: ANN401 - as the base class
        """Replace the levels and notify the dispatcher, as the active level may have changed."""
        self.options = options
        self.monitor.controller.configure(build_levels(options, self.server.configuration.names))
        self.server.dispatcher.put(DeferredEvent(self.monitor.current_event()))

    def answer(self, request: requests.ControlRequest) -> bytes | None:
        """Hold or release a level manually, and pass the resulting events to the dispatcher."""
        now = self.server.scheduler.clock()
        if isinstance(request, requests.HoldLevelRequest):
            events = self.monitor.hold(now, request.level, request.seconds)
            reason = f"no level {request.level}"
        elif isinstance(request, requests.ReleaseLevelRequest):
            events = self.monitor.release(now)
            reason = "no level is held by hand"
        else:
            return None
        if events is None:
            return answers.encode_rejection(reason)
        for event in events:
            self.server.dispatcher.mailbox.push(DeferredEvent(event))
        return answers.encode_success()

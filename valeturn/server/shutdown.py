"""Graceful shutdown: from the termination signal to the last answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..dispatch.gateway_server import CLOSE_TIMEOUT_S
from ..dispatch.messages import DrainRequested, StopRequested

if TYPE_CHECKING:
    from .server import Server

MARGIN = 0.15  # s before the end of the process at which all is answered: the last answers are out by then
MARGIN_SHARE = 0.25  # of the time from signal to end that the margin takes at most, where that time is short
POLL_PERIOD = 0.01  # s between looks at what is still open
LEAST_CLOSE_TIMEOUT = 0.01  # s that a component has at least to write what must still reach the disk


class GracefulShutdown:
    """Serves on through the grace, then accepts nothing new, and ends once everything is answered.

    The process is killed when its time is over, so all that is read has to be answered before: the dispatcher
    is told of an end that lies a margin earlier.
    """

    def __init__(self, server: Server) -> None:
        self._server = server
        self.duration = server.configuration.stop  # s from signal to end
        self.margin = min(MARGIN, MARGIN_SHARE * self.duration)
        self.begun_at: float | None = None  # s of the scheduler's clock

    @property
    def begun(self) -> bool:
        """Whether a termination signal has come."""
        return self.begun_at is not None

    def begin(self) -> None:
        """Start draining; a further signal only reaches the components."""
        server = self._server
        if self.begun_at is None:
            self.begun_at = server.scheduler.clock()
            server.log("shutdown_started", {"timeout_s": self.duration})
            # Whatever comes in between: a process that is still there at its end is killed, which is worse.
            server.scheduler.call_later(self.duration - self.margin / 4, server.scheduler.stop)
            server.scheduler.spawn(self.drain, name="drain")
        for component in server.components.values():
            component.begin_shutdown()

    def drain(self) -> None:
        """Answer everything, close all connections, then stop the loop; runs as a task after `begin`.

        Gateways close their connections themselves, so that nothing on its way is cut off; whatever is left
        is closed shortly before the end.
        """
        begun_at = self.begun_at
        assert begun_at is not None
        end = begun_at + self.duration
        last = end - self.margin
        clock = self._server.scheduler.clock
        self._server.dispatcher.put(DrainRequested(last - clock()))
        self._serve_through_grace(begun_at)
        self._answer_all(last)
        self._close_connections(last)
        for component in self._server.components.values():
            component.drained()
        self._log_drained(begun_at)
        self._server.scheduler.stop()
        for component in self._server.components.values():
            component.close(max(LEAST_CLOSE_TIMEOUT, end - self.margin / 2 - clock()))

    def _serve_through_grace(self, begun_at: float) -> None:
        scheduler = self._server.scheduler
        configured = self._server.configuration.names.settings.drain_grace
        grace = max(0.0, min(configured, self.duration - 2 * self.margin))
        scheduler.sleep(begun_at + grace - scheduler.clock())

    def _answer_all(self, last: float) -> None:
        server = self._server
        clock = server.scheduler.clock
        server.gateways.request_close_all(min(CLOSE_TIMEOUT_S, max(0.0, 0.5 * (last - clock()))))
        listener = server.gateways.listener
        assert listener is not None  # it was made before a signal could come
        listener.drain(last)
        while clock() < last and (server.gateways.connections or server.dispatcher.unanswered_count()):
            server.scheduler.sleep(min(POLL_PERIOD, last - clock()))
        server.dispatcher.put(StopRequested())
        while server.dispatcher.unanswered_count() and clock() < last + self.margin / 4:
            server.scheduler.pause()

    def _close_connections(self, last: float) -> None:
        server = self._server
        server.gateways.close_all(self.margin / 2)
        while server.gateways.connections and server.scheduler.clock() < last + self.margin / 2:
            server.scheduler.sleep(min(POLL_PERIOD, self.margin / 8))

    def _log_drained(self, begun_at: float) -> None:
        server = self._server
        server.log(
            "server_drained",
            {
                "connections": len(server.gateways.connections),
                "unanswered": server.dispatcher.unanswered_count(),
                "took_s": server.scheduler.clock() - begun_at,
            },
        )

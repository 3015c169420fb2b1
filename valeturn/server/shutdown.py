"""Graceful shutdown: from the termination signal until all requests are answered and connections closed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..dispatch.gateway_connection import CLOSE_TIMEOUT_S
from ..dispatch.messages import DrainRequested, StopRequested

if TYPE_CHECKING:
    from .server import Server

# All requests are answered this long before the process ends, so that the last answers are sent by then.
MARGIN_S = 0.15
MARGIN_SHARE = 0.25  # of the time from signal to end: the margin takes no more of a short one
POLL_INTERVAL_S = 0.01  # between checks whether requests or connections are still open
MIN_CLOSE_TIMEOUT_S = 0.01  # that a component has at least to write data that must reach the disk


class GracefulShutdown:
    """Serves until the drain grace is over, then accepts no new requests, and ends once all are answered.

    The platform kills the process when its time is over, so that all requests must be answered before: the
    dispatcher gets a deadline that is earlier by a margin.

    Attributes:
        duration: Seconds from the termination signal to the end of the process.
        margin: Seconds before that end at which all requests are to be answered.
        begun_at: Time of the first termination signal on the scheduler's clock in seconds; None before it.
    """

    def __init__(self, server: Server) -> None:
        self._server = server
        self.duration = server.configuration.stop
        self.margin = min(MARGIN_S, MARGIN_SHARE * self.duration)
        self.begun_at: float | None = None

    @property
    def begun(self) -> bool:
        """Whether a termination signal has been received."""
        return self.begun_at is not None

    def begin(self) -> None:
        """Start draining on a termination signal; a further signal is only passed to the components."""
        server = self._server
        if self.begun_at is None:
            self.begun_at = server.scheduler.clock()
            server.log("shutdown_started", {"timeout_s": self.duration})
            # Stops the loop even if the drain fails: otherwise the platform would kill the process.
            server.scheduler.call_later(self.duration - self.margin / 4, server.scheduler.stop)
            server.scheduler.spawn(self.drain, name="drain")
        for component in server.components.values():
            component.begin_shutdown()

    def drain(self) -> None:
        """Answer all requests, close all connections, then stop the loop; runs as a task after `begin`.

        Gateways are asked to close their connections themselves, so that no request in transit is lost;
        connections that remain are closed shortly before the end.
        """
        begun_at = self.begun_at
        assert begun_at is not None
        process_end = begun_at + self.duration
        answer_deadline = process_end - self.margin
        clock = self._server.scheduler.clock
        self._server.dispatcher.put(DrainRequested(answer_deadline - clock()))
        self._serve_through_grace(begun_at)
        self._answer_all(answer_deadline)
        self._close_connections(answer_deadline)
        for component in self._server.components.values():
            component.drained()
        self._log_drained(begun_at)
        self._server.scheduler.stop()
        for component in self._server.components.values():
            component.close(max(MIN_CLOSE_TIMEOUT_S, process_end - self.margin / 2 - clock()))

    def _serve_through_grace(self, begun_at: float) -> None:
        """Wait until the drain grace is over, in which balancers stop sending new requests."""
        scheduler = self._server.scheduler
        configured = self._server.configuration.names.settings.drain_grace
        grace_s = max(0.0, min(configured, self.duration - 2 * self.margin))
        scheduler.sleep(begun_at + grace_s - scheduler.clock())

    def _answer_all(self, answer_deadline: float) -> None:
        """Stop accepting requests and wait for all answers; at the deadline the dispatcher gives the rest."""
        server = self._server
        clock = server.scheduler.clock
        server.gateways.request_close_all(min(CLOSE_TIMEOUT_S, max(0.0, 0.5 * (answer_deadline - clock()))))
        listener = server.gateways.listener
        assert listener is not None  # it exists before the signal handlers are installed
        listener.drain(answer_deadline)
        while clock() < answer_deadline and (
            server.gateways.connections or server.dispatcher.unanswered_count()
        ):
            server.scheduler.sleep(min(POLL_INTERVAL_S, answer_deadline - clock()))
        server.dispatcher.put(StopRequested())
        while server.dispatcher.unanswered_count() and clock() < answer_deadline + self.margin / 4:
            server.scheduler.pause()

    def _close_connections(self, answer_deadline: float) -> None:
        """Close the connections that are still open, and wait until they are closed."""
        server = self._server
        server.gateways.close_all(self.margin / 2)
        while server.gateways.connections and server.scheduler.clock() < answer_deadline + self.margin / 2:
            server.scheduler.sleep(min(POLL_INTERVAL_S, self.margin / 8))

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

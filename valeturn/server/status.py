"""What a server reports about itself: to an operator, to the metrics, and in its log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .. import __version__

if TYPE_CHECKING:
    from .server import Server

PRINT_PERIOD = 10.0  # s between prints of the counters: a server that is killed outright leaves its last ones


class ServerStatus:
    """Collects the state of a server and of its components; changes nothing."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._started_at = server.scheduler.clock()

    def report(self) -> dict[str, object]:
        """Return what `valeturn status` shows; its keys are part of the control socket's interface."""
        server = self._server
        groups = server.counters.groups()
        return {
            "name": server.configuration.name,
            "version": __version__,
            "up_s": server.scheduler.clock() - self._started_at,
            "leaving": server.shutdown.begun,
            "beliefs": self.gauges(),
            "out": groups.get("out", {}),
            "counters": groups,
            "times_ms": server.counters.times.means(),
            "level": None,
            **{
                key: value
                for component in server.components.values()
                for key, value in component.status().items()
            },
        }

    def gauges(self) -> dict[str, object]:
        """Return what the server takes its state to be, to be compared with what crosses the sockets."""
        server = self._server
        connections = server.gateways.connections
        return {
            **server.dispatcher.gauges(),
            "calls_out": len(server.ledger.out),
            "connections": len(connections),
            "connections_in_use": sum(bool(connection.open) for connection in connections),
            "report_age_s": server.scheduler.clock() - server.reporter.reported_at,
            "link_up": int(server.link.up),
            "cpu_share": server.dispatcher.pacing.share,
            **{
                key: value
                for component in server.components.values()
                for key, value in component.gauges().items()
            },
        }

    def print_counters(self) -> None:
        """Log the counters of the server itself."""
        server = self._server
        server.counters.print(server.log, server.scheduler, self.gauges())

    def print_periodically(self) -> None:
        """Log all counters every PRINT_PERIOD; runs as a task."""
        server = self._server
        while True:
            server.scheduler.sleep(PRINT_PERIOD)
            self.print_counters()
            for component in server.components.values():
                for group, figures in component.counters().items():
                    server.log("counters", {"group": group, **figures})

"""Reports the state of a server for the control socket, the metrics and the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .. import __version__

if TYPE_CHECKING:
    from .server import Server

# Seconds between two log entries of the counters; the last ones remain of a server that is killed.
PRINT_INTERVAL_S = 10.0


class ServerStatus:
    """Collects the state of a server and of its components; changes nothing."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._started_at = server.scheduler.clock()

    def report(self) -> dict[str, object]:
        """Return the status for `valeturn status`; its keys are part of the control socket's interface."""
        server = self._server
        counter_groups = server.counters.groups()
        return {
            "name": server.configuration.name,
            "version": __version__,
            "up_s": server.scheduler.clock() - self._started_at,
            "leaving": server.shutdown.begun,
            "beliefs": self.gauges(),
            "out": counter_groups.get("out", {}),
            "counters": counter_groups,
            "times_ms": server.counters.times.statistics_ms(),
            "level": None,
            **{
                key: value
                for component in server.components.values()
                for key, value in component.status().items()
            },
        }

    def gauges(self) -> dict[str, object]:
        """Return the gauges of the server's internal state, by name.

        They show the server's view of its own state, which can be compared with the traffic on its sockets.
        """
        server = self._server
        connections = server.gateways.connections
        return {
            **server.dispatcher.gauges(),
            "calls_out": len(server.ledger.tasks),
            "connections": len(connections),
            "connections_in_use": sum(bool(connection.open_streams) for connection in connections),
            "report_age_s": server.scheduler.clock() - server.registry.reported_at,
            "link_up": int(server.executor.connected),
            "cpu_share": server.dispatcher.pacing.share,
            **{
                key: value
                for component in server.components.values()
                for key, value in component.gauges().items()
            },
        }

    def print_counters(self) -> None:
        """Log the counters, durations and gauges of the server itself."""
        server = self._server
        server.counters.print(server.log, server.scheduler, self.gauges())

    def print_periodically(self) -> None:
        """Log the counters of the server and its components every PRINT_INTERVAL_S; runs as a task."""
        server = self._server
        while True:
            server.scheduler.sleep(PRINT_INTERVAL_S)
            self.print_counters()
            for component in server.components.values():
                for group, fields in component.counters().items():
                    server.log("counters", {"group": group, **fields})

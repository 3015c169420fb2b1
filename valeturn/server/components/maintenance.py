"""The cluster's maintenance as a component of the server."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, cast

from ...control import answers, requests
from ...control.requests import MaintenanceAction
from ...degradation.controller import State
from ...maintenance.coordinator import MaintenanceCoordinator, ServerMeasurement
from . import Component as BaseComponent
from .cluster import Component as ClusterComponent

if TYPE_CHECKING:
    from ...cluster.node import ClusterNode
    from ..server import Server
    from .degradation import Component as DegradationComponent

OVERLOAD_REJECTED_SHARE = (
    0.2  # of the requests since the last look that were rejected: the server is overloaded
)
FEWEST_REQUESTS = 20  # since the last look, under which a share says nothing


class Component(BaseComponent):
    """Measures for the server's reports, and carries out operators' requests."""

    applies_changes = True

    def __init__(self, server: Server, options: Any) -> None:  # noqa: ANN401 - as the base class
        super().__init__(server, options)
        self.coordinator: MaintenanceCoordinator | None = None
        self._requests_at_last_look = 0
        self._rejections_at_last_look = 0
        self._shutdown_is_own = False  # it was begun for the server's maintenance, by no signal

    def start(self) -> None:
        """Register with the cluster's node."""
        self.coordinator = MaintenanceCoordinator(
            self._node(), self.options, self.measure, self.start_drain, self.server.log
        )

    def _node(self) -> ClusterNode:
        cluster = self.server.components["fleet"]
        assert isinstance(cluster, ClusterComponent)
        return cluster.node

    def apply(self, options: Any) -> None:  # noqa: ANN401 - as the base class
        """Replace the limits."""
        self.options = options
        if self.coordinator is not None:
            self.coordinator.apply_options(options)

    def measure(self) -> ServerMeasurement:
        """Return what the server's next report has to say."""
        settings = self.server.configuration.names.settings
        counts = self.server.counters.counts
        return ServerMeasurement(
            settings.cores,
            self._utilization(),
            self._warmup(),
            self._is_overloaded(),
            counts.get("out.delivered", 0),
        )

    def _utilization(self) -> float:
        """Return the share of the cores in use: as the gauges tell, or by the running requests."""
        server = self.server
        names = server.configuration.names
        dispatcher = server.dispatcher
        measured: float | None = names.gauges(dispatcher.executions.gauges).busy
        if measured is not None:
            return measured
        return float(min(1.0, dispatcher.gauges()["running"] / max(1, names.settings.cores)))

    def _warmup(self) -> float:
        """Return the share of its full speed that the server has reached."""
        dispatcher = self.server.dispatcher
        settings = self.server.configuration.names.settings
        age = self.server.scheduler.clock() - dispatcher.warm_since
        if not dispatcher.started_cold or age >= settings.warm_up_time:
            return 1.0
        speed: float = (
            settings.cold_start_speed + (1 - settings.cold_start_speed) * age / settings.warm_up_time
        )
        return speed

    def _is_overloaded(self) -> bool:
        counts = self.server.counters.counts
        received = counts.get("in.submissions", 0)
        rejected = counts.get("out.turned_back", 0)
        new_requests = received - self._requests_at_last_look
        new_rejections = rejected - self._rejections_at_last_look
        enough = new_requests >= FEWEST_REQUESTS
        if enough:
            self._requests_at_last_look = received
            self._rejections_at_last_look = rejected
        rejects_many = enough and new_rejections > OVERLOAD_REJECTED_SHARE * new_requests
        return self._level_is_active() or rejects_many or not self.server.dispatcher.healthy

    def _level_is_active(self) -> bool:
        degradation = self.server.components.get("level")
        if degradation is None:
            return False
        # Its module is loaded only where the operator's file has levels.
        monitor = cast("DegradationComponent", degradation).monitor
        return monitor.decision.state is not State.NORMAL

    def start_drain(self) -> None:
        """Begin the graceful shutdown for the server's maintenance."""
        self._shutdown_is_own = True
        self.server.shutdown.begin()

    def begin_shutdown(self) -> None:
        """Take a termination signal, unless this component itself has begun the shutdown."""
        if self._shutdown_is_own:
            self._shutdown_is_own = False
        elif self.coordinator is not None:
            self.coordinator.receive_termination_signal()

    def drained(self) -> None:
        """Wait until the maintenance may begin, and run the operator's hook."""
        if self.coordinator is not None:
            self.coordinator.wait_for_maintenance()
            self.server.restart_requested = self.coordinator.restart_requested

    def close(self, patience: float) -> None:
        """End the hooks that still run."""
        if self.coordinator is not None:
            self.coordinator.close()

    def status(self) -> dict[str, Any]:
        """Return what `valeturn fleet turns` shows."""
        return {"turns": None if self.coordinator is None else self.coordinator.status()}

    def answer(self, request: requests.ControlRequest) -> bytes | None:
        """Answer requests about maintenance."""
        if not isinstance(request, requests.MaintenanceRequest) or self.coordinator is None:
            return None
        names = self._named_servers(request)
        reason = self._carry_out(self.coordinator, request, names)
        return answers.encode_success(servers=names) if reason is None else answers.encode_rejection(reason)

    def _carry_out(
        self, coordinator: MaintenanceCoordinator, request: requests.MaintenanceRequest, names: list[str]
    ) -> str | None:
        """Carry out a request and return why it can't be, or None."""
        work_s = request.work_s or self.options.work_duration
        actions: dict[MaintenanceAction, Callable[[], str | None]] = {
            MaintenanceAction.REQUEST_DRAIN: lambda: coordinator.request_maintenance(
                names, request.reason, request.urgent, work_s
            ),
            MaintenanceAction.WITHDRAW: lambda: coordinator.cancel_maintenance(names),
            MaintenanceAction.PAUSE_SCHEDULE: lambda: coordinator.pause_grants(True),
            MaintenanceAction.RESUME_SCHEDULE: lambda: coordinator.pause_grants(False),
        }
        return actions[request.action]()

    def _named_servers(self, request: requests.MaintenanceRequest) -> list[str]:
        """Return the servers that a request is about: those of its zone, or all, where it names none."""
        membership = self._node().membership
        alive: list[str] = membership.alive()
        if request.zone is None:
            return list(request.servers) or alive
        return [name for name in alive if (found := membership.get(name)) and found.zone == request.zone]

"""Connect a server's maintenance with its cluster: reports, instructions, operators' requests and hooks."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection
from typing import Any, ClassVar, NamedTuple

from ..cluster.node import ClusterNode
from .committed_records import CommittedRecords
from .hooks import HookRunner
from .leader import Log, MaintenanceLeader
from .local_drain import STATE_TEXTS, LocalDrain, LocalDrainEffect, LocalDrainState
from .messages import (
    CANCEL_KIND,
    PAUSE_KIND,
    REPORT_KIND,
    REQUEST_KIND,
    RESPONSE_KIND,
    Instruction,
    Report,
)
from .options import MaintenanceOptions
from .records import RecordState
from .status import maintenance_status

REPORT_INTERVAL_LEASES = 0.5
"""Leases between two reports of a server."""
RESPONSE_VALIDITY_LEASES = 1.5
"""Leases within which a server may act on the leader's answer, counted from the report that it answers."""
REQUEST_TIMEOUT_S = 5.0
"""Time within which an operator's request has to be committed."""
REQUEST_RETRY_INTERVAL = 0.5
"""Seconds after which an uncommitted request is sent to the leader again: a message may be lost."""
REQUEST_POLL_INTERVAL = 0.05
"""Seconds between checks whether a request is committed."""
DRAIN_POLL_INTERVAL = 0.02
"""Seconds between checks for the leader's instruction in a drained server."""

REPORTED_STATES = {
    LocalDrainState.DRAINING: RecordState.DRAINING,
    LocalDrainState.DRAINED: RecordState.DRAINED,
    LocalDrainState.IN_MAINTENANCE: RecordState.DRAINED,
}
"""The states in a report; in all others the server reports that it serves."""


class ServerMeasurement(NamedTuple):
    """The values that a server measures for its report."""

    cores: float
    utilization: float  # share of the cores that is in use
    warmup: float  # share of its full speed that the server has reached
    overloaded: bool
    answer_count: int  # requests that this incarnation has answered


class MaintenanceCoordinator:
    """A server's part in the cluster's maintenance.

    The cluster's node calls `tick` and, for received messages, the handlers of `KINDS`. Their arguments come
    unchecked from the other server: the annotations say what is expected, the conversions check it.
    """

    def __init__(
        self,
        node: ClusterNode,
        options: MaintenanceOptions,
        measure: Callable[[], ServerMeasurement],
        start_drain: Callable[[], None],
        log: Log,
    ) -> None:
        """Register with the cluster's node.

        Args:
            node: This server's cluster node.
            options: The section [turns] of the operator's file.
            measure: Returns the measurements for the server's report.
            start_drain: Starts a graceful shutdown, as the platform's termination signal does.
            log: Takes the name of an event and its fields.
        """
        self.node = node
        self.options = options
        self.measure = measure
        self.start_drain = start_drain
        self.log = log
        response_validity = RESPONSE_VALIDITY_LEASES * node.options.lease
        self.local_drain = LocalDrain(node.clock(), response_validity, options.leader_timeout)
        self.records = CommittedRecords(node)
        self.leader = MaintenanceLeader(node, self.records, response_validity, log)
        self.hooks = HookRunner(node, log)
        self.next_report_at = 0.0
        self.restart_requested = False  # whether the process is to be started again after it has ended
        self._return_acknowledged = False
        node.subsystems.append(self)

    def apply_options(self, options: MaintenanceOptions) -> None:
        """Replace the options; a leader starts a new schedule with the new limits."""
        self.options = options
        self.leader.resign()

    def close(self) -> None:
        """End running hooks."""
        self.hooks.close()

    # ---- time

    def tick(self, now: float, term: int | None) -> None:
        """Send a due report, time out the drain and, with a term as leader, plan the schedule."""
        if now >= self.next_report_at:
            self.next_report_at = now + REPORT_INTERVAL_LEASES * self.node.options.lease
            self._report(now)
        if self.local_drain.tick(now) is not None:
            self.log("drain_abandoned", {"waited_s": self.options.leader_timeout})
        if term is None:
            self.leader.resign()
        else:
            self.leader.tick(now, self.options)

    def _report(self, now: float) -> None:
        measurement = self.measure()
        reported_state = REPORTED_STATES.get(self.local_drain.state, RecordState.WAITING)
        report = Report(
            self.local_drain.record_report(now),
            self.node.membership.local.generation,
            self.node.options.zone,
            float(measurement.cores),
            float(measurement.utilization),
            float(measurement.warmup),
            bool(measurement.overloaded),
            int(measurement.answer_count),
            int(reported_state),
            self.local_drain.fencing_token,
        )
        leader = self.node.current_leader()
        if leader == self.node.name:
            self.on_report(now, leader, *report)
        elif leader is not None:
            self.node.send(leader, REPORT_KIND, list(report))

    # ---- messages

    def on_report(self, now: float, sender: str, *fields: object) -> None:
        """Handle a server's report and answer it, while this server leads.

        Raises:
            TypeError: The message has the wrong number of fields, or one has the wrong type.
            ValueError: A field can't be converted.
        """
        report = Report(*fields)  # type: ignore[arg-type]  # the leader converts them
        response = self.leader.receive_report(now, sender, report)
        if response is None:
            return
        instruction = response.instruction.value
        if sender == self.node.name:
            self.on_response(now, sender, report.sent_at, instruction, response.fencing_token)
        else:
            self.node.send(sender, RESPONSE_KIND, [report.sent_at, instruction, response.fencing_token])

    def on_response(
        self, now: float, sender: str, report_time: float, instruction: str, fencing_token: int
    ) -> None:
        """Handle the leader's answer to a report and carry out its instruction.

        Raises:
            TypeError: A field has the wrong type.
            ValueError: A field can't be converted.
        """
        self.local_drain.record_leader_contact(now)
        if instruction == Instruction.ACKNOWLEDGE_RETURN:
            if not self._return_acknowledged and self.options.return_hook is not None:
                self.hooks.start(self.options.return_hook, int(fencing_token), self.options.work_duration)
            self._return_acknowledged = True
            return
        effect = self.local_drain.receive_instruction(
            now, float(report_time), instruction, int(fencing_token)
        )
        if effect is LocalDrainEffect.START_DRAIN:
            self.log("drain_started", {"fencing_token": int(fencing_token)})
            self.start_drain()

    def on_request(
        self, now: float, sender: str, servers: list[str], reason: str, urgent: bool, work_duration: float
    ) -> None:
        """Handle a request for maintenance, while this server leads."""
        self.leader.enqueue(servers, reason, urgent, work_duration)

    def on_cancel(self, now: float, sender: str, servers: list[str]) -> None:
        """Handle the cancellation of requests, while this server leads."""
        self.leader.cancel(servers)

    def on_pause(self, now: float, sender: str, paused: bool) -> None:
        """Handle an operator's pause of grants, or its end, while this server leads."""
        self.leader.set_paused(paused)

    KINDS: ClassVar[dict[str, Callable[..., None]]] = {  # the node reads it by this name
        REPORT_KIND: on_report,
        RESPONSE_KIND: on_response,
        REQUEST_KIND: on_request,
        CANCEL_KIND: on_cancel,
        PAUSE_KIND: on_pause,
    }

    # ---- drain of this server

    def receive_termination_signal(self) -> None:
        """Handle the platform's termination signal, which takes precedence over maintenance."""
        self.local_drain.receive_termination_signal(self.node.clock())

    def wait_for_maintenance(self) -> None:
        """Wait for the leader's permission after the drain, and run the operator's hook.

        To be called in the drain's own task once all requests are answered; returns when the process may end.
        """
        if self.local_drain.state is not LocalDrainState.DRAINING:
            return
        sleep: Callable[[float], None] = self.node.scheduler.sleep
        self.local_drain.complete_drain(self.node.clock())
        self.next_report_at = 0.0  # report at once
        while self._is_in(LocalDrainState.DRAINED):
            sleep(DRAIN_POLL_INTERVAL)
        if self._is_in(LocalDrainState.IN_MAINTENANCE) and self.options.drained_hook is not None:
            self.hooks.start(
                self.options.drained_hook, self.local_drain.fencing_token, self.options.work_duration
            )
            while not self.hooks.ended and self._is_in(LocalDrainState.IN_MAINTENANCE):
                sleep(DRAIN_POLL_INTERVAL)
        self.restart_requested = self._is_in(LocalDrainState.RESTARTING)
        self.log("drain_ended", {"state": STATE_TEXTS[self.local_drain.state]})

    def _is_in(self, state: LocalDrainState) -> bool:
        """Return whether the drain is in this state now; other tasks change it during a sleep."""
        return self.local_drain.state is state

    # ---- operators' requests

    def request_maintenance(
        self, servers: Collection[str], reason: str, urgent: bool, work_duration: float
    ) -> str | None:
        """Request maintenance of some servers; any server of the cluster can take the request.

        Waits in the caller's task until the request is committed. Returns None then, otherwise the reason
        why it was not.
        """

        def is_committed() -> bool:
            return set(servers) <= {record.server for record in self.records.read()}

        fields = [list(servers), reason, bool(urgent), float(work_duration)]
        return self._send_until(REQUEST_KIND, fields, is_committed)

    def cancel_maintenance(self, servers: Collection[str]) -> str | None:
        """Cancel the requests of some servers; waits and returns as `request_maintenance` does."""

        def is_committed() -> bool:
            return all(
                record.cancelled or record.state > RecordState.DRAINED
                for record in self.records.read()
                if record.server in servers
            )

        return self._send_until(CANCEL_KIND, [list(servers)], is_committed)

    def pause_grants(self, paused: bool) -> str | None:
        """Pause or resume the granting of maintenance; waits and returns as `request_maintenance` does."""

        def is_committed() -> bool:
            return self.records.paused() == paused

        return self._send_until(PAUSE_KIND, [bool(paused)], is_committed)

    def _send_until(self, kind: str, fields: list[Any], is_committed: Callable[[], bool]) -> str | None:
        """Send a message to the leader repeatedly until its effect is committed, or return an error."""
        clock = self.node.clock
        deadline = clock() + REQUEST_TIMEOUT_S
        last_attempt_at = -math.inf
        while clock() < deadline:
            now = clock()
            leader = self.node.current_leader()
            if is_committed():
                return None
            if leader is not None and now - last_attempt_at > REQUEST_RETRY_INTERVAL:
                last_attempt_at = now
                if leader == self.node.name:
                    self.KINDS[kind](self, now, leader, *fields)
                else:
                    self.node.send(leader, kind, fields)
            self.node.scheduler.sleep(REQUEST_POLL_INTERVAL)
        return "no owner has taken it down; ask again"

    # ---- status

    def status(self) -> dict[str, Any]:
        """Return the part of `valeturn status` that shows maintenance."""
        known = self.node.known_state()
        return maintenance_status(
            self.node.clock(),
            self.records.read(),
            self.leader.schedule,
            self.local_drain,
            known.leader,
            known.state.maintenance_held,
        )

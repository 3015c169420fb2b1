"""The order in which machines go out for work, as a part of the server."""

from __future__ import annotations

from ...control import answers, requests
from ...degradation.controller import State
from ...maintenance.coordinator import MaintenanceCoordinator, ServerMeasurement
from . import Part as Base

TURNED_BACK = 0.2  # of what came since the last look, that is strain
FEW = 20  # that came, under which a share says nothing


class Part(Base):
    live = True

    def __init__(self, server, built):
        super().__init__(server, built)
        self.turns, self.at_last = None, (0, 0)
        self.by_turn = False

    def start(self):
        self.turns = MaintenanceCoordinator(
            self.server.parts["fleet"].fleet, self.built, self.measure, self.go_out, self.server.log
        )

    def take(self, built):
        self.built = built
        self.turns.apply_options(built)

    def measure(self):
        server, now = self.server, self.server.scheduler.clock()
        core, s = server.core, server.configuration.names.settings
        gauges = server.configuration.names.gauges(core.runs.gauges)
        busy = gauges.busy
        if busy is None:
            busy = min(1.0, core.beliefs()["running"] / max(1, s.cores))
        age = now - core.warm_since
        warm = (
            1.0
            if not core.cold or age >= s.cold_time
            else s.cold_speed + (1 - s.cold_speed) * age / s.cold_time
        )
        counts = server.counters.counts
        came, back = counts.get("in.submissions", 0), counts.get("out.turned_back", 0)
        lately, returned = came - self.at_last[0], back - self.at_last[1]
        if lately >= FEW:
            self.at_last = came, back
        level = server.parts.get("level")
        reduced = level is not None and level.reducing.decision.state is not State.NORMAL
        strained = reduced or lately >= FEW and returned > TURNED_BACK * lately or not core.good
        return ServerMeasurement(s.cores, busy, warm, strained, counts.get("out.delivered", 0))

    def go_out(self):
        self.by_turn = True
        self.server.shutdown.begin()

    def leaving(self):
        if self.by_turn:
            self.by_turn = False  # this notice is its own
        elif self.turns is not None:
            self.turns.receive_termination_signal()

    def drained(self):
        if self.turns is not None:
            self.turns.wait_for_maintenance()
            self.server.restart_requested = self.turns.restart_requested

    def close(self, patience):
        if self.turns is not None:
            self.turns.close()

    def status(self):
        return {"turns": None if self.turns is None else self.turns.status()}

    def answer(self, request):
        if not isinstance(request, requests.MaintenanceRequest) or self.turns is None:
            return None
        names = self.named(request)
        why = {
            "out": lambda: self.turns.request_maintenance(
                names, request.reason, request.urgent, request.work_s or self.built.work_duration
            ),
            "back": lambda: self.turns.cancel_maintenance(names),
            "hold": lambda: self.turns.pause_grants(True),
            "go-on": lambda: self.turns.pause_grants(False),
        }[request.action]()
        return answers.encode_success(servers=names) if why is None else answers.encode_rejection(why)

    def named(self, request):
        """Those of a zone, or all that are there, where no names are given."""
        membership = self.server.parts["fleet"].fleet.membership
        if request.zone is not None:
            return [name for name in membership.alive() if membership.get(name).zone == request.zone]
        return list(request.servers) or membership.alive()

"""The control socket as a part of the server; it sends each request to the part whose it is."""

from __future__ import annotations

from ...control import answers, requests
from ...control.errors import SocketInUseError
from ...control.server import ControlServer
from . import Part as Base

NO_PART = {
    requests.MetricsRequest: "no metrics are configured",
    requests.HoldLevelRequest: "no levels are configured",
    requests.ReleaseLevelRequest: "no levels are configured",
    requests.ClusterRequest: "this server is in no fleet",
    requests.MaintenanceRequest: "no turns are configured",
}


class Part(Base):
    control = None

    def start(self):
        server = self.server
        try:
            self.control = ControlServer(
                server.scheduler, self.built.socket_path, self.reply, server.counters.add
            )
        except (SocketInUseError, OSError) as error:  # the server serves without it
            server.counters.add("control.listen_failed")
            server.log("control_listen_failed", {"socket": self.built.socket_path, "reason": str(error)})

    def reply(self, request):
        if isinstance(request, requests.StatusRequest):
            return answers.encode_success(status=self.server.status.report())
        if isinstance(request, requests.FencedRequest):
            fleet = self.server.parts.get("fleet")
            if fleet is None:
                return answers.encode_rejection("this server is in no fleet")
            return fleet.answer(request) or self.reply(request.request)
        for part in self.server.parts.values():
            answer = part.answer(request)
            if answer is not None:
                return answer
        return answers.encode_rejection(NO_PART[type(request)])

    def drained(self):
        if self.control is not None:
            self.control.close()

"""The control socket as a part of the server; it sends each request to the part whose it is."""

from __future__ import annotations

from ...control import requests
from ...control.server import Control, InUse
from . import Part as Base

NO_PART = {
    requests.Metrics: "no metrics are configured",
    requests.Hold: "no levels are configured",
    requests.Free: "no levels are configured",
    requests.Fleet: "this server is in no fleet",
    requests.Turns: "no turns are configured",
}


class Part(Base):
    control = None

    def start(self):
        server = self.server
        try:
            self.control = Control(server.scheduler, self.built.socket, self.reply, server.counters.add)
        except (InUse, OSError) as error:  # a server without its control socket serves all the same
            server.counters.add("control.not_open")
            server.log("control_not_open", {"socket": self.built.socket, "why": str(error)})

    def reply(self, request):
        if isinstance(request, requests.Status):
            return requests.good(status=self.server.status.report())
        if isinstance(request, requests.Fenced):
            fleet = self.server.parts.get("fleet")
            stale = requests.refused("this server is in no fleet") if fleet is None else fleet.answer(request)
            return stale or self.reply(request.request)
        for part in self.server.parts.values():
            answer = part.answer(request)
            if answer is not None:
                return answer
        return requests.refused(NO_PART[type(request)])

    def drained(self):
        if self.control is not None:
            self.control.close()

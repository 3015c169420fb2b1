"""Levels of reduced service as a part of the server."""

from __future__ import annotations

from ...control import answers, requests
from ...degradation.options import build_levels
from ...dispatch.degradation_monitor import Reducing
from ...dispatch.messages import Told
from . import Part as Base


class Part(Base):
    live = True

    def __init__(self, server, built):
        super().__init__(server, built)
        names = server.configuration.names
        self.reducing = Reducing(
            server.scheduler.clock(),
            build_levels(built, names),
            names.settings,
            server.counters.add,
            server.log,
        )

    def figures(self):
        return self.reducing.figures(self.server.scheduler.clock())

    def status(self):
        return {"level": self.figures()}

    def counts(self):
        return {"level": self.figures()}

    def take(self, built):
        self.built = built
        self.reducing.decision.configure(build_levels(built, self.server.configuration.names))
        self.server.core.put(Told(self.reducing.event()))  # what the present level gives up may have changed

    def answer(self, request):
        """Nothing about submissions is decided here: a level is held as a condition would enter it."""
        now = self.server.scheduler.clock()
        if isinstance(request, requests.HoldLevelRequest):
            told, why = self.reducing.hold(now, request.level, request.seconds), f"no level {request.level}"
        elif isinstance(request, requests.ReleaseLevelRequest):
            told, why = self.reducing.free(now), "no level is held by hand"
        else:
            return None
        if told is None:
            return answers.encode_rejection(why)
        for event in told:
            self.server.core.mailbox.push(Told(event))
        return answers.encode_success()

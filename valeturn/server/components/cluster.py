"""A server's part of a fleet: links, who is there, the owner, votes on disk."""

from __future__ import annotations

from ...cluster.node import Fleet
from ...cluster.vote_file import VoteFileError
from ...control import answers, requests
from ..configuration import ConfigurationError
from . import Part as Base

FAREWELL = 0.05  # s for the last words to go out, where links are there


class Part(Base):
    def __init__(self, server, built):
        super().__init__(server, built)
        c = server.configuration
        try:
            self.fleet = Fleet(
                built, c.name, server.scheduler, server.counters.add, server.log, c.seed, server.seams.fleet
            )
        except VoteFileError as refused:
            raise ConfigurationError("fleet", f"{built.folder}: {refused}") from None
        except OSError as error:
            raise ConfigurationError(
                "fleet", f"{built.listen}, {built.folder or 'no folder'}: {error}"
            ) from None
        server.log(
            "fleet_opened", {"fleet": built.name, "listen": built.listen, "life": self.fleet.vote_life}
        )

    def start(self):
        self.fleet.start()

    def status(self):
        return {"fleet": self.fleet.status()}

    def beliefs(self):
        return {"fleet_" + name: value for name, value in self.fleet.figures().items()}

    def leaving(self):
        self.fleet.leave()

    def drained(self):
        self.fleet.depart()
        self.server.scheduler.sleep(FAREWELL)

    def close(self, patience):
        self.fleet.close(patience)

    def answer(self, request):
        fleet = self.fleet
        if isinstance(request, requests.FencedRequest):
            if fleet.fencing_tokens.accept("control." + request.task, request.token):
                return None
            highest_seen = fleet.fencing_tokens.highest_seen["control." + request.task]
            return answers.encode_rejection(
                f"{request.token} is lower than {highest_seen}, which was seen here: another has taken over"
            )
        if not isinstance(request, requests.ClusterRequest):
            return None
        why = {
            "hand-over": lambda: fleet.hand_over(request.server),
            "leave": fleet.leave_alone,
            "revive": fleet.revive,
            "admit": lambda: fleet.change_voters("admit", request.server),
            "dismiss": lambda: fleet.change_voters("dismiss", request.server),
        }[request.action]()
        self.server.counters.add("fleet.asked." + request.action.replace("-", "_"))
        return answers.encode_success() if why is None else answers.encode_rejection(why)

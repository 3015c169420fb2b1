"""The fleet's duties as this server may do them, and its share of the calls."""

from __future__ import annotations

from ...dispatch.call_quota import Sharing
from . import Part as Base


def sharing_of(duties):
    """(name, options) of the duty that shares the calls, or None."""
    return next(((name, one) for name, one in duties.items() if one.kind == "share-calls"), None)


class Part(Base):
    live = True
    sharing = None

    def __init__(self, server, built):
        super().__init__(server, built)
        self.fleet = server.parts["fleet"].fleet
        self.fleet.configure(built)
        found = sharing_of(built)
        if found is not None:
            self.fleet.share_calls(*found, lambda: self.sharing.need(server.core.at_calls()))
            self.sharing = Sharing(self.fleet.call_quota.available)

    def takes(self, built):
        """All but the sharing of calls, of which all servers must hold the same cap: that wants restarts."""
        now, then = sharing_of(built or {}), sharing_of(self.built or {})
        return (now and (now[0], now[1]._replace(where={}))) == (
            then and (then[0], then[1]._replace(where={}))
        )

    def take(self, built):
        self.built = built
        self.fleet.configure(built or {})

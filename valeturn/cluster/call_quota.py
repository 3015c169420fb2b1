"""This server's share of the dependency's calls, and the split of them all while it is the owner."""

from __future__ import annotations

from . import quota


class Calls:
    def __init__(self, fleet, name, options, need):
        """fleet: clock, acts, facts, send, fences, count, log and its options are used. need(): calls out
        that this server could use now."""
        self.fleet, self.name, self.options, self.need = fleet, name, options, need
        f = fleet.options
        # A few rounds, so that one may be lost, and what the loss of an owner takes mostly.
        self.lasts = max(4 * options.round, 2 * f.lease)
        self.holder = quota.Holder(fleet.clock(), options.cap / f.largest, self.lasts)
        self.splitter, self.ask_at = None, 0.0

    def usable(self):
        """Calls out that this server may have now, of all."""
        return self.holder.usable(self.fleet.clock())

    def tick(self, now):
        if now >= self.ask_at:
            self.ask_at = now + self.options.round * (0.8 + 0.4 * self.fleet.chance.share())
            fields = self.holder.ask(now, self.need())
            _, facts, owner = self.fleet.facts()
            row = facts.duty(self.name)
            owner = row[1] if row is not None else owner
            if owner == self.fleet.name:
                self.on_need(now, owner, *fields)
            elif owner is not None:
                self.fleet.send(owner, "need", fields)

    def on_need(self, now, sender, need, stamp, holding):
        """A server asks; nothing is said by one that is not, or no more, the owner."""
        fence = self.fleet.acts(self.name)
        if fence is None:
            self.splitter = None
            return
        if self.splitter is None or self.splitter.fence != fence:
            o = self.options
            self.splitter = quota.Splitter(now, fence, o.cap, self.fleet.options.largest, self.lasts)
        held = int(holding[0]), int(holding[1])
        grant = self.splitter.asked(now, sender, float(need), float(stamp), held)
        if grant is None or self.fleet.acts(self.name) != fence:
            return
        if sender == self.fleet.name:
            self.fleet.on_share(now, sender, list(grant))
        else:
            self.fleet.send(sender, "share", [list(grant)])

    def on_share(self, now, sender, said):
        fence, number, *amounts = said
        grant = quota.Grant(int(fence), int(number), *map(float, amounts))
        holder, stale, before = self.holder, self.holder.stale, self.holder.usable(now)
        if holder.granted(now, grant):
            self.fleet.fencing_tokens.accept(self.name, grant.fence)
            self.fleet.count("fleet.shares.taken")
            if abs(holder.amount - before) > 0.1 * before:
                self.fleet.log(
                    "fleet_share",
                    {"calls": holder.amount, "from": quota.SOURCES[holder.source], "fence": grant.fence},
                )
        elif holder.stale > stale:
            self.fleet.count("fleet.shares.stale")

    def figures(self, now):
        return {
            "calls": self.holder.usable(now),
            "from": quota.SOURCES[self.holder.source],
            "stale": self.holder.stale,
        }

    def split_figures(self, now):
        return None if self.splitter is None else self.splitter.figures(now)

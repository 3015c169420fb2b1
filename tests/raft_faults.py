"""Faults planted in the consensus, which the checks have to find."""

from valeturn.cluster import raft as ow


class KeepsNoPromise(ow.Owner):
    def promise(self):
        return 0.05 * self.lease


class ActsOnPastItsLease(ow.Owner):
    def leads(self, now):
        return self.role == ow.LEADER


class VotesTwice(ow.Owner):
    def on_vote(self, now, sender, term, index, last_term, handed):
        if term == self.kept.term:
            self.kept = self.kept._replace(vote=None)
        super().on_vote(now, sender, term, index, last_term, handed)

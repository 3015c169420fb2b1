"""Deliberately faulty Raft nodes, whose faults the tests and the model checker have to find."""

from valeturn.cluster.raft import RaftNode, Role


class VotesDuringALease(RaftNode):
    def vote_withholding_time(self):
        return 0.05 * self.lease


class ActsAfterItsLease(RaftNode):
    def holds_lease(self, now):
        return self.role == Role.LEADER


class VotesTwice(RaftNode):
    def on_request_vote(self, now, sender, message):
        if message.term == self.durable.term:
            self.durable = self.durable._replace(vote=None)
        super().on_request_vote(now, sender, message)

"""One server's part of a fleet, on the loop: carries out what membership, founding, owner, duties and shares
decide.

Everything goes through one object in the loop's own turns: nothing here waits but the links' tasks, and the
disk's thread. An effect on behalf of the fleet looks at the lease right before it is had (`acts`).
"""

from __future__ import annotations

import time
from typing import NamedTuple

from ..transport.seeded_random import Chance
from ..transport.streams import Stream, connect
from ..transport.worker_thread import Helper
from . import limits, singleton_tasks, task_processes, vote_file
from .bootstrap import Bootstrap, voter_set_to_wire
from .call_quota import GRANT_MESSAGE, REQUEST_MESSAGE, CallQuota
from .fencing import FencingTokens
from .member_messages import ALIVE, LEFT, SUSPECTED
from .member_table import STATE_NAMES, Effect
from .membership import MemberIdentity, Membership
from .peer_connections import LocalEndpoint, PeerConnections
from .raft import ROLE_NAMES, Committed, RaftNode, Send
from .replicated_state import ADD_VOTER, GRANT_LEASE, REMOVE_VOTER, ClusterState
from .vote_persistence import VotePersistence

TICKS = 12  # a lease
# of the lease between words of one that remembers nothing, and between facts for those that don't vote
TELL = 0.5
REMIND = 5.0  # s after which facts that have not changed are told again: a message may be lost
ASKED = 3  # others, by chance, that one without a vote tells so while it knows no owner


def boot_clock():
    """s since the machine came up, through suspend: no wall clock decides anything here."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Seams(NamedTuple):
    """What a laboratory may put in other things' place."""

    clock: object = boot_clock
    to_boot: object = float  # a moment of `clock` by the boot clock
    dial: object = connect
    folder: object = vote_file.VoteDirectory
    wall: object = time.time  # for the number of a life alone
    peer_connections: object = PeerConnections


class Fleet:
    def __init__(self, options, name, scheduler, count, log, seed, seams=None):
        """Raises VoteFileError or OSError where this server can't take part."""
        self.seams = seams = seams or Seams()
        self.options, self.name, self.scheduler = options, name, scheduler
        self.count, self.log = count, log
        self.clock = seams.clock
        self.helper = self.vote_folder = None
        life, kept = int(1000 * self.seams.wall()), None
        if options.folder is not None:
            self.vote_folder = seams.folder(options.folder)
            self.vote_folder.lock()
            data = self.vote_folder.read()
            if data is not None:
                found = vote_file.decode(data, options.name, name, options.listen)
                life_kept, kept = found
            self.helper = Helper()
        # The vote's life is its folder's; each start has one of its own for who is there.
        self.vote_life = life if kept is None else life_kept
        self.chance = chance = Chance(seed ^ life)
        for _ in range(8):
            chance.share()
        now = self.clock()
        self.started_at = now
        identity = MemberIdentity(name, options.listen, options.zone, life)
        self.membership = Membership(identity, options.seeds, chance, now, options.probe)
        self.owner = self.make_owner(durable=kept)
        self.bootstrap = None
        if name in options.voters and self.owner.durable.state_lost and not self.owner.state.voters:
            floor = 0 if options.folder is not None else int(seams.wall()) << limits.EPOCH_BITS
            self.bootstrap = Bootstrap(name, self.vote_life, floor, options.voters)
        self.vote = VotePersistence(self.vote_folder, self.helper, self.encode_vote)
        self.singleton_tasks = singleton_tasks.SingletonTasks(name, self.vote_life)
        self.fencing_tokens = FencingTokens()
        self.others = []  # subsystems on top: kinds, tick(now, term), each with messages of its own
        self.call_quota = None  # its share of them, where a duty splits them
        environment = {"VALETURN_SERVER": name, "VALETURN_FLEET": options.name}
        self.task_processes = task_processes.TaskProcesses(scheduler, environment, self.run_ended)
        self.wanted = {}  # name -> life of those that would vote
        self.heard_facts = None  # what a server that does not vote was told: (term, facts, owner, when)
        self.told_at, self.told_facts = -1e9, {}  # name -> ((term, commit), when) that it was told last
        self.told_role, self.silenced, self.unowned_since = None, None, now
        self.elections, self.closed, self.leaving = 0, False, False
        self.handing = None  # to whom it hands over, "" to any, while its commands end
        self.founded_set, self.asked_in = None, set()  # as told to the others; names that an operator admits
        local = LocalEndpoint(options.name, options.listen, self.who, self.hear)
        self.peer_connections = seams.peer_connections(scheduler, local, chance, count, seams.dial)

    def who(self):
        return self.name, self.membership.local.generation

    def encode_vote(self, kept):
        o = self.options
        return vote_file.encode(o.name, self.name, o.listen, self.vote_life, kept)

    def start(self):
        if self.helper is not None:
            self.scheduler.spawn(self.hear_the_disk, name="vote")
        self.scheduler.spawn(self.run, name="fleet")
        if self.bootstrap is not None and self.bootstrap.complete_if_alone():
            self.found()

    # ---- time

    def run(self):
        while not self.closed:
            self.tick()
            self.scheduler.sleep(min(0.1, self.options.lease / TICKS))

    def tick(self):
        now = self.clock()
        self.carry_membership(self.membership.tick(now))
        self.peer_connections.tick()
        if self.silenced:
            return
        if self.vote.failed_at is not None:
            if self.vote.is_retry_due(now):
                self.vote.write(self.owner.durable)
        else:
            self.carry(self.owner.tick(now))
        term = self.owner.durable.term if self.leads(now) else None
        self.say_role(now, term)
        if self.handing is not None:
            self.go_on_handing_over(now, term)
            term = None
        if now - self.told_at >= TELL * self.options.lease:
            self.told_at = now
            self.tell(now, term)
        if term is not None:
            self.admit(now)
        self.carry_duties(self.singleton_tasks.tick(now, term))
        self.tell_guards()
        if self.call_quota is not None:
            self.call_quota.tick(now)
        for other in self.others:
            other.tick(now, term)
        if self.leaving and term is not None and self.handing is None:  # elected again meanwhile
            self.hand_over()

    def say_role(self, now, term):
        role = self.owner.role
        if (role, term) != self.told_role:
            if term is not None and (self.told_role is None or self.told_role[1] != term):
                self.elections += 1
                self.log("fleet_owner", {"term": term, "without_s": round(now - self.unowned_since, 3)})
            elif self.told_role is not None and self.told_role[1] is not None:
                self.log("fleet_owner_no_more", {"term": self.told_role[1], "role": ROLE_NAMES[role]})
                self.unowned_since = now
            self.told_role = role, term
        if self.owner.leader not in (None, self.name):  # when its last round was heard
            self.unowned_since = max(
                self.unowned_since, self.owner.votes_withheld_until - self.owner.vote_withholding_time()
            )

    def leads(self, now):
        return not self.silenced and self.vote.failed_at is None and self.owner.holds_lease(now)

    def acts(self, name):
        """The fence under which this server may have an effect for that duty at this moment, or None: to be
        asked after every wait and before every effect."""
        task = self.singleton_tasks.tasks.get(name)
        if task is None or not self.leads(self.clock()) or not task.is_held(self.owner.durable.term):
            return None
        return task.fencing_token

    # ---- messages

    def hear(self, message, at):
        """From a link. Kinds that nobody knows are counted: a newer version's."""
        if self.closed:
            return
        now, kind, fields, sender = self.clock(), message.kind, message.fields, message.sender
        if kind in Membership.KINDS:
            self.carry_membership(self.membership.receive(now, sender, message.generation, kind, fields))
        elif self.silenced:
            return
        elif kind in RaftNode.KINDS:
            if self.vote.failed_at is None:
                self.carry(self.owner.receive(now, sender, kind, fields))
        else:
            taker = next((one for one in (self, *self.others) if kind in one.KINDS), None)
            if taker is None:
                self.count("cluster.messages_rejected.kind")
                return
            try:
                taker.KINDS[kind](taker, now, sender, *fields)
            except (TypeError, ValueError, IndexError):
                self.count("cluster.messages_rejected.fields")

    def send(self, name, kind, fields):
        member = self.membership.get(name)
        if member is not None and name != self.name:
            self.peer_connections.send(member.address, kind, fields)

    def carry_membership(self, sends):
        for _, at, kind, fields in sends:
            self.peer_connections.send(at, kind, fields)
        for change in self.membership.take_changes():
            if change.effect is Effect.NAME_CONFLICT:
                self.silence(f"another server at {change.member.address} says that it is {self.name}")
                continue
            self.count("cluster.members." + change.effect.value)
            self.log(
                "member_changed",
                {
                    "member": change.name,
                    "change": change.effect.value,
                    "zone": change.member.zone,
                    "suspected_by": change.member.suspected_by or "-",
                },
            )

    def silence(self, why):
        """Votes and acts no more: two of one name must not both."""
        if self.silenced is None:
            self.silenced = why
            self.log("fleet_silenced", {"why": why})
            now = self.clock()
            self.carry_duties(self.singleton_tasks.tick(now, None))

    def carry(self, effects):
        for effect in self.vote.submit(effects):
            self.do(effect)

    def do(self, effect):
        if isinstance(effect, Send):
            self.send(effect.to, effect.kind, effect.fields)
        elif isinstance(effect, Committed):
            self.committed(effect)

    def hear_the_disk(self):
        stream = Stream(self.scheduler, self.helper.end)
        while isinstance(stream.read(), bytes):
            for _, result in self.helper.taken():
                if isinstance(result, OSError):
                    if self.vote.failed_at is None:
                        self.log("fleet_vote_not_kept", {"why": str(result)})
                    self.count("fleet.vote_failed")
                elif self.vote.failed_at is not None:
                    self.log("fleet_vote_kept_again")
                for effect in self.vote.write_finished(self.clock(), result):
                    self.do(effect)

    # ---- facts

    def committed(self, told):
        """A fact holds from now on."""
        if told.command[0] == GRANT_LEASE:
            _, name, owner, life = told.command
            fence = told.state.task_lease(name).fencing_token
            self.fencing_tokens.accept(name, fence)
            now = self.clock()
            if (owner, life) == (self.name, self.vote_life) and self.leads(now):
                term = self.owner.durable.term
                if self.owner.term_of(told.log_index) == term:
                    self.carry_duties(self.singleton_tasks.grant_committed(now, term, name, fence))
        if told.command[0] in (ADD_VOTER, REMOVE_VOTER):
            self.log(
                "fleet_voters",
                {
                    "fact": " ".join(str(word) for word in told.command),
                    "voters": ",".join(name for name, _ in told.state.voters),
                },
            )

    def owner_now(self):
        """The name of the owner as far as is known here, or None."""
        return self.name if self.leads(self.clock()) else self.facts()[2]

    def propose(self, fact):
        """The owner's: a fact for the log. False where it can't be proposed now."""
        now = self.clock()
        if not self.leads(now):
            return False
        done = self.owner.propose(now, fact)
        self.carry(self.owner.tick(now))
        return done

    def facts(self):
        """(term, facts, owner as far as is known here)"""
        if self.owner.may_vote() or self.heard_facts is None:
            return self.owner.durable.term, self.owner.state, self.owner.leader
        return self.heard_facts[:3]

    def tell(self, now, term):
        """The owner tells those that do not vote what holds; who remembers nothing says so."""
        if term is not None:
            facts = self.owner.state
            voting = {name for name, _ in facts.voters}
            fields, mark = [term, facts.encode()], (term, self.owner.commit_index)
            for name in self.membership.alive():
                before = self.told_facts.get(name)
                if name not in voting and (before is None or before[0] != mark or now - before[1] >= REMIND):
                    self.told_facts[name] = mark, now
                    self.send(name, "facts", fields)
        if not self.owner.durable.state_lost:  # it was admitted by others that had founded without it
            self.bootstrap = None
        if self.bootstrap is not None or self.owner.durable.state_lost:
            word = (
                self.bootstrap.announcement()
                if self.bootstrap is not None
                else [[self.name, self.vote_life, 0], None, False]
            )
            owner = self.facts()[2]
            to = self.options.voters if self.bootstrap is not None or owner is None else [owner]
            if owner is None:  # the founders may long be others than those that vote
                alive = self.membership.alive()
                to = {*to, *(alive[int(self.chance.share() * len(alive))] for _ in range(ASKED))}
            for name in to:
                self.send(name, "blank", word)
        elif self.founded_set is not None and now - self.started_at < 600.0:
            packed = voter_set_to_wire(self.founded_set)
            for name in self.options.voters:  # one that has not heard all the words founds by this
                if name != self.name and self.membership.get(name) is not None:
                    self.send(name, "blank", [[self.name, self.vote_life, 0], packed, True])

    def on_blank(self, now, sender, row, would, done):
        """One that remembers nothing, or that has just founded."""
        if self.bootstrap is not None:
            if self.bootstrap.receive(sender, row, would, done) is not None:
                self.found()
            return
        if done is not True and isinstance(row, list) and len(row) == 3 and isinstance(row[1], int):
            self.wanted[sender] = row[1]
            if len(self.wanted) > limits.MEMBERS:
                self.wanted.clear()

    def found(self):
        self.founded_set = self.bootstrap.completed
        self.bootstrap = None
        voters = tuple((name, life) for name, life, _ in self.founded_set)
        self.owner = self.make_owner(
            voters=voters, fencing_token=max(floor for _, _, floor in self.founded_set)
        )
        self.log("cluster_bootstrapped", {"voters": ",".join(name for name, _ in voters)})

    def admit(self, now):
        """The owner takes voters back that lost their memory, and in those that an operator named."""
        voters = dict(self.owner.state.voters)
        named = {*voters, *self.asked_in, *self.options.voters}
        for name, life in list(self.wanted.items()):
            if voters.get(name) == life:
                del self.wanted[name]
                self.asked_in.discard(name)
            elif name in named:
                self.owner.readmit_voter(now, name, life)
        if self.wanted:
            self.carry(self.owner.tick(now))

    def on_facts(self, now, sender, term, packed):
        if self.owner.may_vote() and self.epoch(packed[2]) <= self.epoch(self.owner.state.fencing_token):
            return
        facts = ClusterState.decode(packed)
        if self.heard_facts is not None and (term, facts.fencing_token) < (
            self.heard_facts[0],
            self.heard_facts[1].fencing_token,
        ):
            return
        self.heard_facts = term, facts, sender, now
        for name, _, _, fence in facts.task_leases:
            self.fencing_tokens.accept(name, fence)
        if self.owner.may_vote() and (self.name, self.vote_life) not in facts.voters:
            self.forget()

    @staticmethod
    def epoch(fence):
        return fence >> limits.EPOCH_BITS

    def forget(self):
        """The fleet was revived without this one: what it has kept is of before, and it votes anew."""
        self.log("fleet_revived_without", {"life": self.vote_life})
        self.vote_anew()
        self.owner = self.make_owner()

    def vote_anew(self):
        """In a life that has never voted."""
        self.vote_life = self.singleton_tasks.incarnation = max(
            int(1000 * self.seams.wall()), self.vote_life + 1
        )

    def make_owner(self, **how):
        return RaftNode(self.name, self.vote_life, self.options.lease, self.chance, self.clock(), **how)

    # ---- shares of the calls

    def share_calls(self, name, options, need):
        """This server takes part in the split of the calls; need(): calls out that it could use now."""
        self.call_quota = CallQuota(self, name, options, need)

    def on_need(self, now, sender, *fields):
        if self.call_quota is not None:
            self.call_quota.on_request(now, sender, *fields)

    def on_share(self, now, sender, said):
        if self.call_quota is not None:
            self.call_quota.on_grant(now, sender, said)

    KINDS = {"blank": on_blank, "facts": on_facts, REQUEST_MESSAGE: on_need, GRANT_MESSAGE: on_share}

    # ---- duties

    def configure(self, configured):
        self.carry_duties(self.singleton_tasks.configure(self.clock(), configured))

    def carry_duties(self, effects):
        now = self.clock()
        for effect in effects:
            if isinstance(effect, singleton_tasks.Propose):
                self.propose(effect.entry)
            elif isinstance(effect, singleton_tasks.StartCommand):
                self.start_command(now, effect)
            elif isinstance(effect, singleton_tasks.StopCommand):
                self.task_processes.stop(effect.task)
            else:
                self.log(effect.event, effect.fields)

    def start_command(self, now, start):
        """At the last look at the lease: what is started has its fence in its environment."""
        failure = singleton_tasks.CommandOutcome.without_exit("lease over")
        if self.acts(start.task) == start.fencing_token:
            failure = self.task_processes.start(*start)
        if failure is not None:
            self.run_ended(start.task, failure)
        self.tell_guards()

    def run_ended(self, name, outcome):
        self.carry_duties(self.singleton_tasks.command_ended(self.clock(), name, outcome))

    def tell_guards(self):
        if self.task_processes.running and self.leads(self.clock()):
            self.task_processes.extend_leases(self.acts, self.seams.to_boot(self.owner.lease_until))

    # ---- what operators ask

    def hand_over(self, to=None):
        """To one that has all that is committed, once its commands are gone. None, or why not."""
        if not self.leads(self.clock()):
            return f"{self.name} is not the owner; {self.facts()[2] or 'nobody'} is"
        fit = self.successors()
        if to is not None and to not in fit:
            return f"{to} has not all that is committed"
        if not fit:
            return "no other voter has all that is committed"
        now = self.clock()
        self.handing = to or ""
        self.carry_duties(self.singleton_tasks.tick(now, None))
        self.go_on_handing_over(now, self.owner.durable.term)
        return None

    def go_on_handing_over(self, now, term):
        """Once all that its duties started is gone; the lease goes on until then. To another where the one
        named is fit no more."""
        if term is None:
            self.handing = None
        elif not self.task_processes.running:
            fit = self.successors()
            if fit:
                to = self.handing if self.handing in fit else fit[int(self.chance.share() * len(fit))]
                self.carry(self.owner.transfer_leadership(now, to))
                self.handing = None

    def successors(self):
        """Voters that are there and have all that is in this one's log."""
        alive, last = set(self.membership.alive()), self.owner.last_position().last_index
        return [name for name, at in self.owner.matched() if name in alive - {self.name} and at == last]

    def change_voters(self, what, name):
        """One at a time. None, or why not."""
        now, voters = self.clock(), dict(self.owner.state.voters)
        if not self.leads(now):
            return f"{self.name} is not the owner; {self.facts()[2] or 'nobody'} is"
        if what == "admit":
            if name in voters:
                return f"{name} votes already"
            if len(voters) >= limits.VOTERS:
                return f"{limits.VOTERS} voters at the most"
            if name not in self.wanted:
                return f"{name} has not said that it would vote: is it there, and in this fleet?"
            self.asked_in.add(name)
            return None
        if name not in voters:
            return f"{name} does not vote"
        if name == self.name:
            return "an owner does not dismiss itself: hand over first"
        if len(voters) == 1:
            return "the last voter stays"
        if not self.propose((REMOVE_VOTER, name)):
            return "another change of voters is under way"
        self.asked_in.discard(name)
        return None

    def revive(self):
        """After the loss of a majority for good: this server alone votes, under numbers above all that were
        handed out. None, or why not."""
        now = self.clock()
        if self.leads(now):
            return "there is an owner: this server"
        if (
            self.owner.role == 0
            and now < self.owner.votes_withheld_until
            and self.owner.leader is not None
            and (now - self.started_at > 2 * self.options.lease)
        ):
            return f"there is an owner: {self.owner.leader}"
        _, facts, _ = self.facts()
        floor = (
            self.epoch(max([facts.fencing_token, *self.fencing_tokens.highest_seen.values()])) + 1
        ) << limits.EPOCH_BITS
        self.vote_anew()
        self.bootstrap = None
        voters = ((self.name, self.vote_life),)
        self.owner = self.make_owner(voters=voters, fencing_token=floor, term=self.owner.durable.term + 1)
        self.log("fleet_revived", {"fence": floor})
        return None

    def role(self):
        """In words, what keeps it from voting first."""
        if self.silenced:
            return "silenced: " + self.silenced
        if self.vote.failed_at is not None:
            return "its disk does not keep its vote"
        if self.bootstrap is not None:
            return "waits for the others named to vote"
        return "remembers no vote" if self.owner.durable.state_lost else ROLE_NAMES[self.owner.role]

    def status(self):
        now = self.clock()
        term, facts, owner = self.facts()
        members = [self.membership.local, *self.membership.members.values()]
        leads = self.leads(now)
        return {
            "name": self.options.name,
            "owner": self.name if leads else owner,
            "term": term,
            "fence": facts.fencing_token,
            "lease_left_s": round(max(0.0, self.owner.lease_until - now), 3) if leads else None,
            "role": self.role(),
            "voters": [name for name, _ in facts.voters],
            "doubt": self.membership.health.score,
            "members": [
                {
                    "name": m.name,
                    "address": m.address,
                    "zone": m.zone,
                    "state": STATE_NAMES[m.state],
                    "for_s": round(now - m.since, 1),
                    "accused_by": m.suspected_by if m.state == SUSPECTED else "",
                }
                for m in sorted(members)
            ],
            "duties": self.singleton_tasks.status(now),
            "owners": [
                {"duty": duty, "owner": one, "fence": fence} for duty, one, _, fence in facts.task_leases
            ],
            "share": None if self.call_quota is None else self.call_quota.status(now),
            "split": self.call_quota.allocator_status(now) if self.call_quota is not None and leads else None,
            "links": len(self.peer_connections.open_connections),
            "elections": self.elections,
        }

    def figures(self):
        """Numbers for the counters."""
        now = self.clock()
        states = [m.state for m in self.membership.members.values()]
        return {
            "alive": 1 + states.count(ALIVE),
            "suspected": states.count(SUSPECTED),
            "leads": int(self.leads(now)),
            "term": self.owner.durable.term,
            "fence": self.facts()[1].fencing_token,
            "links": len(self.peer_connections.open_connections),
            "doubt": self.membership.health.score,
            "elections": self.elections,
            "fence_refused": self.fencing_tokens.rejected_count,
            "share": -1 if self.call_quota is None else self.call_quota.available(),
        }

    # ---- the end

    def leave(self):
        """The notice to leave has come: commands are stopped, ownership handed on; it answers on until
        closed."""
        if not self.leaving:
            self.leaving = True
            now = self.clock()
            self.carry_duties(self.singleton_tasks.tick(now, None))
            if self.leads(now):
                self.hand_over()

    def leave_alone(self):
        """This server goes out of the fleet and serves on by itself: it takes part again from its next
        start."""
        self.leave()
        self.depart()
        self.silence("has left the fleet")

    def depart(self):
        """The others hear that it goes by itself, and need not suspect it."""
        if self.membership.local.state != LEFT:
            self.carry_membership(self.membership.leave(self.clock()))

    def close(self, patience):
        if self.closed:
            return
        self.depart()
        self.closed = True
        self.task_processes.close_all()
        self.peer_connections.close_now()
        if self.helper is not None:
            self.helper.finish(max(0.01, patience))
            self.vote_folder.unlock()

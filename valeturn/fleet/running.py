"""One server's part of a fleet, on the loop: carries out what membership, founding, owner, duties and shares
decide.

Everything goes through one object in the loop's own turns: nothing here waits but the links' tasks, and the
disk's thread. An effect on behalf of the fleet looks at the lease right before it is had (`acts`).
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from collections import deque
from typing import NamedTuple

from ..transport.chance import Chance
from ..transport.helper import Helper
from ..transport.scheduler import READ
from ..transport.streams import Stream, connect
from . import bounds, duties, shares, votes
from .fences import Fences
from .founding import Founding
from .links import Links
from .membership import ALIVE, LEFT, STATES, SUSPECTED, Membership
from .owner import Owner, Persist, ROLES, Send
from .owner import Told as Committed

TICKS = 12  # a lease
# of the lease between words of one that remembers nothing, and between facts for those that don't vote
TELL = 0.5
ASKED = 3  # others, by chance, that one without a vote tells so while it knows no owner
DISK_RETRY = 1.0  # s from a write that failed to the next
GUARD = os.path.join(os.path.dirname(__file__), "guard.py")


def boot_clock():
    """s since the machine came up, through suspend: no wall clock decides anything here."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Seams(NamedTuple):
    """What a laboratory may put in other things' place."""

    clock: object = boot_clock
    to_boot: object = float  # a moment of `clock` by the boot clock
    dial: object = connect
    folder: object = votes.Folder
    wall: object = time.time  # for the number of a life alone
    links: object = Links


class Vote:
    """Keeps what a voter must not forget. Effects behind a Persist wait until it is durable."""

    def __init__(self, fleet, folder, life, helper):
        self.fleet, self.folder, self.life, self.helper = fleet, folder, life, helper
        self.waiting, self.writing, self.failed_at = deque(), False, None
        self.latest = None

    def carry(self, effects):
        """All that may be done now, in order."""
        if self.folder is None:
            return [one for one in effects if not isinstance(one, Persist)]
        self.waiting.extend(effects)
        return self.go_on()

    def go_on(self):
        out = []
        while self.waiting and not self.writing:
            one = self.waiting.popleft()
            if not isinstance(one, Persist):
                out.append(one)
                continue
            # The last of several may stand for all: a message that goes out later than it might is only late.
            kept = next(
                (other.kept for other in reversed(self.waiting) if isinstance(other, Persist)), one.kept
            )
            self.waiting = deque(other for other in self.waiting if not isinstance(other, Persist))
            self.latest, self.writing = kept, True
            f = self.fleet
            data = votes.encode(f.options.name, f.name, f.options.listen, self.life, kept)
            self.helper.ask("vote", self.folder.write, data)
        return out

    def written(self, now, result):
        """What may go out now. After an error nothing does that waited for it, and this server votes no more
        until its disk takes what it has to keep."""
        self.writing = False
        if isinstance(result, OSError):
            self.waiting.clear()
            self.failed_at = now
            return []
        self.failed_at = None
        return self.go_on()

    def retry(self, kept):
        self.writing, f = True, self.fleet
        self.helper.ask(
            "vote", self.folder.write, votes.encode(f.options.name, f.name, f.options.listen, self.life, kept)
        )


class Running:
    """A command that runs under its guard."""

    def __init__(self, process, out):
        self.process, self.out, self.text = process, out, b""


class Fleet:
    def __init__(self, options, name, scheduler, count, log, seed, seams=None):
        """Raises votes.Refused or OSError where this server can't take part."""
        self.seams = seams = seams or Seams()
        self.options, self.name, self.scheduler = options, name, scheduler
        self.count, self.log = count, log
        self.clock = seams.clock
        self.helper = self.vote_folder = None
        life, kept = int(1000 * self.seams.wall()), None
        if options.folder is not None:
            self.vote_folder = seams.folder(options.folder)
            self.vote_folder.take()
            data = self.vote_folder.read()
            if data is not None:
                found = votes.decode(data, options.name, name, options.listen)
                life_kept, kept = found
            self.helper = Helper()
        # The vote's life is its folder's; each start has one of its own for who is there.
        self.vote_life = life if kept is None else life_kept
        self.chance = chance = Chance(seed ^ life)
        for _ in range(8):
            chance.share()
        now = self.clock()
        self.started_at = now
        self.membership = Membership(
            name, options.listen, options.zone, life, options.seeds, chance, now, options.probe
        )
        self.owner = Owner(name, self.vote_life, options.lease, chance, now, kept)
        self.founding = None
        if name in options.voters and self.owner.kept.blank and not self.owner.facts.voters:
            floor = 0 if options.folder is not None else int(seams.wall()) << bounds.EPOCH
            self.founding = Founding(name, self.vote_life, floor, options.voters)
        self.vote = Vote(self, self.vote_folder, self.vote_life, self.helper)
        self.duties = duties.Duties(name, self.vote_life, now)
        self.fences = Fences()
        self.shared = None  # name of the duty that shares the calls
        self.holder = self.splitter = self.need = None
        self.commands, self.wanted = (
            {},
            {},
        )  # runs under way; name -> life of those to be admitted by an operator
        self.heard_facts = None  # what a server that does not vote was told: (term, facts, owner, when)
        self.told_at, self.ask_at = -1e9, 0.0
        self.told_role, self.silenced, self.unowned_since = None, None, now
        self.elections, self.closed, self.leaving = 0, False, False
        self.handing = None  # to whom it hands over, "" to any, while its commands end
        self.founded_set, self.asked_in = None, set()  # as told to the others; names that an operator admits
        self.links = seams.links(
            scheduler, options.name, options.listen, self.who, self.hear, chance, count, seams.dial
        )

    def who(self):
        return self.name, self.membership.me.life

    def start(self):
        if self.helper is not None:
            self.scheduler.spawn(self.hear_the_disk, name="vote")
        self.scheduler.spawn(self.run, name="fleet")
        if self.founding is not None and self.founding.alone():
            self.found()

    # ---- time

    def run(self):
        while not self.closed:
            self.tick()
            self.scheduler.sleep(min(0.1, self.options.lease / TICKS))

    def tick(self):
        now = self.clock()
        self.carry_membership(self.membership.tick(now))
        self.links.tick()
        if self.silenced:
            return
        if self.vote.failed_at is not None:
            if now - self.vote.failed_at >= DISK_RETRY and not self.vote.writing:
                self.vote.retry(self.owner.kept)
        else:
            self.carry(self.owner.tick(now))
        term = self.owner.kept.term if self.leads(now) else None
        self.say_role(now, term)
        if self.handing is not None:
            self.go_on_handing_over(now, term)
            term = None
        if now - self.told_at >= TELL * self.options.lease:
            self.told_at = now
            self.tell(now, term)
        if term is not None:
            self.admit(now)
        self.carry_duties(self.duties.tick(now, term))
        self.tell_guards(now, term)
        if self.holder is not None and now >= self.ask_at:
            self.ask_at = now + self.duty_options().round * (0.8 + 0.4 * self.chance.share())
            self.ask(now)

    def say_role(self, now, term):
        role = self.owner.role
        if (role, term) != self.told_role:
            if term is not None and (self.told_role is None or self.told_role[1] != term):
                self.elections += 1
                self.log("fleet_owner", {"term": term, "without_s": round(now - self.unowned_since, 3)})
            elif self.told_role is not None and self.told_role[1] is not None:
                self.log("fleet_owner_no_more", {"term": self.told_role[1], "role": ROLES[role]})
                self.unowned_since = now
            self.told_role = role, term
        if self.owner.leader not in (None, self.name):  # when its last round was heard
            self.unowned_since = max(self.unowned_since, self.owner.promised_until - self.owner.promise())

    def leads(self, now):
        return not self.silenced and self.vote.failed_at is None and self.owner.leads(now)

    def acts(self, name):
        """The fence under which this server may have an effect for that duty at this moment, or None: to be
        asked after every wait and before every effect."""
        duty = self.duties.duties.get(name)
        if duty is None or not self.leads(self.clock()) or not duty.holds(self.owner.kept.term):
            return None
        return duty.fence

    # ---- messages

    def hear(self, message, at):
        """From a link. Kinds that nobody knows are counted: a newer version's."""
        if self.closed:
            return
        now, kind, fields, sender = self.clock(), message.kind, message.fields, message.sender
        if kind in Membership.KINDS:
            self.carry_membership(self.membership.hear(now, sender, message.life, kind, fields, at))
        elif self.silenced:
            return
        elif kind in Owner.KINDS:
            if self.vote.failed_at is None:
                self.carry(self.owner.hear(now, sender, kind, fields))
        elif kind in self.KINDS:
            try:
                self.KINDS[kind](self, now, sender, *fields)
            except (TypeError, ValueError):
                self.count("fleet.refused.fields")
        else:
            self.count("fleet.refused.kind")

    def send(self, name, kind, fields):
        member = self.membership.get(name)
        if member is not None and name != self.name:
            self.links.send(member.address, kind, fields)

    def carry_membership(self, sends):
        for _, at, kind, fields in sends:
            self.links.send(at, kind, fields)
        for change in self.membership.take_changes():
            if change.what == "name_taken":
                self.silence(f"another server at {change.member.address} says that it is {self.name}")
                continue
            self.count("fleet.members." + change.what)
            self.log(
                "fleet_member",
                {
                    "member": change.name,
                    "what": change.what,
                    "zone": change.member.zone,
                    "by": change.member.accuser or "-",
                },
            )

    def silence(self, why):
        """Votes and acts no more: two of one name must not both."""
        if self.silenced is None:
            self.silenced = why
            self.log("fleet_silenced", {"why": why})
            now = self.clock()
            self.carry_duties(self.duties.tick(now, None))

    def carry(self, effects):
        for effect in self.vote.carry(effects):
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
                for effect in self.vote.written(self.clock(), result):
                    self.do(effect)

    # ---- facts

    def committed(self, told):
        """A fact holds from now on."""
        if told.fact[0] == "grant":
            _, name, owner, life = told.fact
            fence = told.facts.duty(name)[3]
            self.fences.passes(name, fence)
            now = self.clock()
            if (owner, life) == (self.name, self.vote_life) and self.leads(now):
                term = self.owner.kept.term
                if self.owner.term_of(told.index) == term:
                    self.carry_duties(self.duties.granted(now, term, name, fence))
        if told.fact[0] in ("admit", "dismiss"):
            self.log(
                "fleet_voters",
                {
                    "fact": " ".join(str(word) for word in told.fact),
                    "voters": ",".join(name for name, _ in told.facts.voters),
                },
            )

    def facts(self):
        """(term, facts, owner as far as is known here)"""
        if self.owner.may_vote() or self.heard_facts is None:
            return self.owner.kept.term, self.owner.facts, self.owner.leader
        return self.heard_facts[:3]

    def tell(self, now, term):
        """The owner tells those that do not vote what holds; who remembers nothing says so."""
        if term is not None:
            facts = self.owner.facts
            voting = {name for name, _ in facts.voters}
            fields = [term, votes.pack_facts(facts)]
            for name in self.membership.alive():
                if name not in voting:
                    self.send(name, "facts", fields)
        if not self.owner.kept.blank:  # it was admitted by others that had founded without it
            self.founding = None
        if self.founding is not None or self.owner.kept.blank:
            word = (
                self.founding.word()
                if self.founding is not None
                else [[self.name, self.vote_life, 0], None, False]
            )
            owner = self.facts()[2]
            to = self.options.voters if self.founding is not None or owner is None else [owner]
            if owner is None:  # the founders may long be others than those that vote
                alive = self.membership.alive()
                to = {*to, *(alive[int(self.chance.share() * len(alive))] for _ in range(ASKED))}
            for name in to:
                self.send(name, "blank", word)
        elif self.founded_set is not None and now - self.started_at < 600.0:
            for name in self.options.voters:  # one that has not heard all the words founds by this
                if name != self.name and self.membership.get(name) is not None:
                    self.send(name, "blank", [[self.name, self.vote_life, 0], self.founded_set, True])

    def on_blank(self, now, sender, row, would, done):
        """One that remembers nothing, or that has just founded."""
        if self.founding is not None:
            if self.founding.hear(sender, row, would, done) is not None:
                self.found()
            return
        if done is not True and isinstance(row, list) and len(row) == 3 and isinstance(row[1], int):
            self.wanted[sender] = row[1]
            if len(self.wanted) > bounds.MEMBERS:
                self.wanted.clear()

    def found(self):
        self.founded_set = self.founding.founded
        self.founding = None
        now = self.clock()
        voters = tuple((name, life) for name, life, _ in self.founded_set)
        self.owner = Owner(
            self.name,
            self.vote_life,
            self.options.lease,
            self.chance,
            now,
            None,
            voters,
            max(floor for _, _, floor in self.founded_set),
        )
        self.log("fleet_founded", {"voters": ",".join(name for name, _ in voters)})

    def admit(self, now):
        """The owner takes voters back that lost their memory, and in those that an operator named."""
        named = {name for name, _ in self.owner.facts.voters} | self.asked_in
        for name, life in list(self.wanted.items()):
            if dict(self.owner.facts.voters).get(name) == life:
                del self.wanted[name]
                self.asked_in.discard(name)
            elif name in named or name in self.options.voters and self.owner.facts.voters:
                self.owner.readmit(now, name, life)
        self.carry(self.owner.tick(now))

    def on_facts(self, now, sender, term, packed):
        if self.owner.may_vote() and self.epoch(packed[2]) <= self.epoch(self.owner.facts.fence):
            return
        facts = votes.read_facts(packed)
        if self.heard_facts is not None and (term, facts.fence) < (
            self.heard_facts[0],
            self.heard_facts[1].fence,
        ):
            return
        self.heard_facts = term, facts, sender, now
        for name, _, _, fence in facts.duties:
            self.fences.passes(name, fence)
        if self.owner.may_vote() and (self.name, self.vote_life) not in facts.voters:
            self.forget(now)

    @staticmethod
    def epoch(fence):
        return fence >> bounds.EPOCH

    def forget(self, now):
        """The fleet was revived without this one: what it has kept is of before, and it votes anew."""
        self.log("fleet_revived_without", {"life": self.vote_life})
        self.vote_life = self.vote.life = max(int(1000 * self.seams.wall()), self.vote_life + 1)
        self.owner = Owner(self.name, self.vote_life, self.options.lease, self.chance, now)
        self.duties.life = self.vote_life

    # ---- shares of the calls

    def duty_options(self):
        return self.duties.duties[self.shared].options

    def share_calls(self, name, options, sure_need):
        """need(): calls out that this server could use now."""
        self.shared, self.need = name, sure_need
        self.holder = shares.Holder(
            self.clock(), options.cap / self.options.largest, self.share_lasts(options)
        )

    def share_lasts(self, options):
        """s of a grant: a few rounds, so that one may be lost, and what an owner's loss takes mostly."""
        return max(4 * options.round, 2 * self.options.lease)

    def share_now(self):
        """Calls out that this server may have now, of all."""
        return self.holder.usable(self.clock())

    def ask(self, now):
        fields = self.holder.ask(now, self.need())
        _, facts, owner = self.facts()
        row = facts.duty(self.shared)
        owner = row[1] if row is not None else owner
        if owner == self.name:
            self.on_need(now, self.name, *fields)
        elif owner is not None:
            self.send(owner, "need", fields)

    def on_need(self, now, sender, need, stamp, holding):
        fence = None if self.shared is None else self.acts(self.shared)
        if fence is None:
            self.splitter = None
            return
        o = self.duty_options()
        if self.splitter is None or self.splitter.fence != fence:
            self.splitter = shares.Splitter(now, fence, o.cap, self.options.largest, self.share_lasts(o))
        grant = self.splitter.asked(
            now, sender, float(need), float(stamp), (int(holding[0]), int(holding[1]))
        )
        if grant is None or self.acts(self.shared) != fence:
            return
        if sender == self.name:
            self.on_share(now, sender, list(grant))
        else:
            self.send(sender, "share", [list(grant)])

    def on_share(self, now, sender, said):
        grant = shares.Grant(int(said[0]), int(said[1]), float(said[2]), float(said[3]), float(said[4]))
        if self.holder is None:
            return
        stale = self.holder.stale
        before = self.holder.usable(now)
        if self.holder.granted(now, grant):
            self.fences.passes(self.shared, grant.fence)
            self.count("fleet.shares.taken")
            if self.holder.amount != before:
                self.log(
                    "fleet_share",
                    {
                        "calls": self.holder.amount,
                        "until": self.holder.until,
                        "now": now,
                        "from": shares.SOURCES[self.holder.source],
                        "fence": grant.fence,
                    },
                )
        elif self.holder.stale > stale:
            self.count("fleet.shares.stale")

    KINDS = {"blank": on_blank, "facts": on_facts, "need": on_need, "share": on_share}

    # ---- duties

    def configure(self, configured):
        self.carry_duties(self.duties.put(self.clock(), configured))

    def carry_duties(self, effects):
        now = self.clock()
        for effect in effects:
            if isinstance(effect, duties.Propose):
                if self.leads(now):
                    self.owner.propose(now, effect.fact)
                    self.carry(self.owner.tick(now))
            elif isinstance(effect, duties.Start):
                self.start_command(now, effect)
            elif isinstance(effect, duties.Stop):
                self.tell_guard(effect.name, b"stop\n")
            else:
                self.log(effect.event, effect.fields)

    def start_command(self, now, start):
        """At the last look at the lease: what is started has its fence in its environment."""
        if self.acts(start.name) != start.fence:
            self.carry_duties(
                self.duties.ended(now, start.name, {"code": None, "why": "lease over", "tail": ""})
            )
            return
        environment = {
            **os.environ,
            "VALETURN_FENCE": str(start.fence),
            "VALETURN_DUTY": start.name,
            "VALETURN_SERVER": self.name,
            "VALETURN_FLEET": self.options.name,
        }
        try:
            process = subprocess.Popen(
                [sys.executable, "-I", "-S", GUARD, str(start.patience), start.command],
                env=environment,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
                close_fds=True,
            )
        except OSError as error:
            self.carry_duties(
                self.duties.ended(now, start.name, {"code": None, "why": str(error), "tail": ""})
            )
            return
        os.set_blocking(process.stdin.fileno(), False)
        os.set_blocking(process.stdout.fileno(), False)
        self.commands[start.name] = running = Running(process, process.stdout)
        self.tell_guards(now, self.owner.kept.term)
        self.scheduler.spawn(self.follow, start.name, running, name="duty")

    def follow(self, name, running):
        """Until its guard has ended: by then the command and all that it started are gone."""
        descriptor = running.out.fileno()
        while True:
            self.scheduler.wait_fd(descriptor, READ)
            try:
                data = os.read(descriptor, 65536)
            except BlockingIOError:
                continue
            if not data:
                break
            running.text = (running.text + data)[-4 * bounds.TAIL :]
        self.scheduler.closing(descriptor)
        running.out.close()
        try:
            running.process.stdin.close()
        except OSError:
            pass
        while running.process.poll() is None:
            self.scheduler.sleep(0.01)
        self.commands.pop(name, None)
        self.carry_duties(self.duties.ended(self.clock(), name, self.outcome(running)))

    @staticmethod
    def outcome(running):
        try:
            said = json.loads(running.text)
            return {"code": said["code"], "why": said["why"], "tail": said["tail"]}
        except (ValueError, KeyError, TypeError):
            return {"code": None, "why": f"its guard ended with {running.process.returncode}", "tail": ""}

    def tell_guards(self, now, term):
        """How long the lease lasts. A command under an older number hears nothing more, and so ends in
        time."""
        for name in list(self.commands):
            if term is not None and self.acts(name) is not None:
                until = self.seams.to_boot(self.owner.lease_until)
                self.tell_guard(name, b"until %.6f\n" % until)

    def tell_guard(self, name, line):
        running = self.commands.get(name)
        if running is not None:
            try:
                os.write(running.process.stdin.fileno(), line)
            except OSError:  # it has ended, or reads nothing: its own clock ends it
                pass

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
        self.carry_duties(self.duties.tick(now, None))
        self.go_on_handing_over(now, self.owner.kept.term)
        return None

    def go_on_handing_over(self, now, term):
        """Once all that its duties started is gone; the lease goes on until then. To another where the one
        named is fit no more."""
        if term is None:
            self.handing = None
        elif not self.commands:
            fit = self.successors()
            if fit:
                to = self.handing if self.handing in fit else fit[int(self.chance.share() * len(fit))]
                self.carry(self.owner.hand_over(now, to))
                self.handing = None

    def successors(self):
        """Voters that are there and have all that is in this one's log."""
        alive, last = set(self.membership.alive()), self.owner.last()[0]
        return [name for name, at in self.owner.matched() if name in alive - {self.name} and at == last]

    def change_voters(self, what, name):
        """One at a time. None, or why not."""
        now, voters = self.clock(), dict(self.owner.facts.voters)
        if not self.leads(now):
            return f"{self.name} is not the owner; {self.facts()[2] or 'nobody'} is"
        if what == "admit":
            if name in voters:
                return f"{name} votes already"
            if len(voters) >= bounds.VOTERS:
                return f"{bounds.VOTERS} voters at the most"
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
        if not self.owner.propose(now, ("dismiss", name)):
            return "another change of voters is under way"
        self.asked_in.discard(name)
        self.carry(self.owner.tick(now))
        return None

    def revive(self):
        """After the loss of a majority for good: this server alone votes, under numbers above all that were
        handed out. None, or why not."""
        now = self.clock()
        if self.leads(now):
            return "there is an owner: this server"
        if (
            self.owner.role == 0
            and now < self.owner.promised_until
            and self.owner.leader is not None
            and (now - self.started_at > 2 * self.options.lease)
        ):
            return f"there is an owner: {self.owner.leader}"
        _, facts, _ = self.facts()
        floor = (self.epoch(max([facts.fence, *self.fences.seen.values()])) + 1) << bounds.EPOCH
        self.vote_life = self.vote.life = max(int(1000 * self.seams.wall()), self.vote_life + 1)
        self.duties.life = self.vote_life
        self.founding = None
        self.owner = Owner(
            self.name,
            self.vote_life,
            self.options.lease,
            self.chance,
            now,
            None,
            ((self.name, self.vote_life),),
            floor,
            self.owner.kept.term + 1,
        )
        self.log("fleet_revived", {"fence": floor})
        return None

    def status(self):
        now = self.clock()
        term, facts, owner = self.facts()
        members = [self.membership.me, *self.membership.members.values()]
        leads = self.leads(now)
        return {
            "name": self.options.name,
            "owner": self.name if leads else owner,
            "term": term,
            "fence": facts.fence,
            "lease_left_s": round(max(0.0, self.owner.lease_until - now), 3) if leads else None,
            "role": "silenced: " + self.silenced
            if self.silenced
            else (
                "its disk does not keep its vote"
                if self.vote.failed_at is not None
                else "waits for the others named to vote"
                if self.founding is not None
                else "remembers no vote"
                if self.owner.kept.blank
                else ROLES[self.owner.role]
            ),
            "voters": [name for name, _ in facts.voters],
            "doubt": self.membership.doubt,
            "members": [
                {
                    "name": m.name,
                    "address": m.address,
                    "zone": m.zone,
                    "state": STATES[m.state],
                    "for_s": round(now - m.since, 1),
                    "accused_by": m.accuser if m.state == SUSPECTED else "",
                }
                for m in sorted(members)
            ],
            "duties": self.duties.figures(now),
            "owners": [{"duty": duty, "owner": one, "fence": fence} for duty, one, _, fence in facts.duties],
            "share": None
            if self.holder is None
            else {
                "calls": self.holder.usable(now),
                "from": shares.SOURCES[self.holder.source],
                "stale": self.holder.stale,
            },
            "split": self.splitter.figures(now) if self.splitter is not None and leads else None,
            "links": len(self.links.links),
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
            "term": self.owner.kept.term,
            "fence": self.facts()[1].fence,
            "links": len(self.links.links),
            "doubt": self.membership.doubt,
            "elections": self.elections,
            "fence_refused": self.fences.refused,
            "share": -1 if self.holder is None else self.holder.usable(now),
        }

    # ---- the end

    def leave(self):
        """The notice to leave has come: commands are stopped, ownership handed on; it answers on until
        closed."""
        if not self.leaving:
            self.leaving = True
            now = self.clock()
            self.carry_duties(self.duties.tick(now, None))
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
        if self.membership.me.state != LEFT:
            self.carry_membership(self.membership.leave(self.clock()))

    def close(self, patience):
        if self.closed:
            return
        self.depart()
        self.closed = True
        for name, running in list(self.commands.items()):
            try:
                running.process.stdin.close()  # the end of the server, as its guard sees it
            except OSError:
                pass
        self.links.close_now()
        if self.helper is not None:
            self.helper.finish(max(0.01, patience))
            self.vote_folder.release()

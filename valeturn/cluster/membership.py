"""Who is there: probes, suspicion, refutation, gossip. No I/O.

After "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol" (Das, Gupta,
Motivala) and "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (Dadgar, Phillips,
Currey): each period one member is probed, directly and then through others; who does not answer is
suspected, and gone only when nobody refuted it in time; a server whose own probes fail or whose nacks don't
come doubts itself first and waits longer.

Told by `hear` and `tick`; both return what to send, as (name, address, kind, fields), and `changes` has what
became of members since it was read last.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from .limits import ADDRESS, GOSSIP, MEMBERS, SYNCED

# States of a member as it is known here.
UNKNOWN, ALIVE, SUSPECTED, GONE, LEFT = range(5)
STATES = ("unknown", "alive", "suspected", "gone", "left")
# How what is told of a member stands to what is known: of a newer life, or of the same life and a newer, the
# same or an older incarnation. What is told of an older life is as OLDER.
NEW_LIFE, NEWER, SAME, OLDER = range(4)

# (known, told, how it stands) -> (next state, effect). A pair that is missing changes nothing: OLDER never
# does.
TABLE = {
    (UNKNOWN, ALIVE, NEW_LIFE): (ALIVE, "joined"),
    (UNKNOWN, SUSPECTED, NEW_LIFE): (SUSPECTED, "suspect"),
    (UNKNOWN, GONE, NEW_LIFE): (GONE, "note"),
    (UNKNOWN, LEFT, NEW_LIFE): (LEFT, "note"),
    (ALIVE, ALIVE, NEWER): (ALIVE, "note"),
    (ALIVE, SUSPECTED, SAME): (SUSPECTED, "suspect"),
    (ALIVE, SUSPECTED, NEWER): (SUSPECTED, "suspect"),
    (ALIVE, GONE, SAME): (GONE, "lost"),
    (ALIVE, GONE, NEWER): (GONE, "lost"),
    (SUSPECTED, ALIVE, NEWER): (ALIVE, "refuted"),
    (SUSPECTED, SUSPECTED, SAME): (SUSPECTED, "confirm"),
    (SUSPECTED, SUSPECTED, NEWER): (SUSPECTED, "suspect"),
    (SUSPECTED, GONE, SAME): (GONE, "lost"),
    (SUSPECTED, GONE, NEWER): (GONE, "lost"),
    (GONE, ALIVE, NEWER): (ALIVE, "returned"),
    (GONE, SUSPECTED, NEWER): (SUSPECTED, "suspect"),
    **{(known, LEFT, how): (LEFT, "went") for known in (ALIVE, SUSPECTED) for how in (SAME, NEWER)},
    **{(GONE, LEFT, how): (LEFT, "note") for how in (SAME, NEWER)},
    **{(known, ALIVE, NEW_LIFE): (ALIVE, "reborn") for known in (ALIVE, SUSPECTED, GONE, LEFT)},
    **{(known, SUSPECTED, NEW_LIFE): (SUSPECTED, "suspect") for known in (ALIVE, SUSPECTED, GONE, LEFT)},
    **{(known, GONE, NEW_LIFE): (GONE, "lost") for known in (ALIVE, SUSPECTED)},
    **{(known, GONE, NEW_LIFE): (GONE, "note") for known in (GONE, LEFT)},
    **{(known, LEFT, NEW_LIFE): (LEFT, "went") for known in (ALIVE, SUSPECTED)},
    **{(known, LEFT, NEW_LIFE): (LEFT, "note") for known in (GONE, LEFT)},
}

PERIOD = 1.0  # s between probes, as both papers have it
# of a period that a direct answer has: ten round trips of a slow network, leaving time for others
DIRECT = 0.3
HELPERS = 3  # others that are asked to probe; more gain little, says SWIM
SUSPICION = 4.0  # periods, times the log of the members' number: Lifeguard's alpha of 5 a little sooner
SLACK = 6.0  # times that at the most, while nobody else suspects: Lifeguard's beta
CONFIRMATIONS = 3  # others' suspicions after which the least time holds
DOUBT = 8  # steps of doubt in oneself at the most, each a period longer: Lifeguard's S
SPREAD = 4.0  # times the log (to ten) of the number of members that a piece of news is sent on
CHAT = 0.2  # periods between messages of news alone, while there is some: five rounds a period, as others do,
# so that a suspicion and its refutation go round well within the least suspicion
TO = 2  # members that each such message goes to
SYNC = 30.0  # s between whole lists with one other, which heals what gossip missed
FORGET = 120.0  # s after which one that is gone or left is forgotten; far longer than news goes round


class Member(NamedTuple):
    """One server as it is known here."""

    name: str
    address: str  # host:port of its links
    zone: str
    life: int
    incarnation: int
    state: int
    since: float  # s, of this server's clock, at which it came to this state
    accuser: str = ""  # who suspects it by a probe of its own

    def news(self):
        return [self.name, self.address, self.zone, self.accuser, self.life, self.incarnation, self.state]


class Change(NamedTuple):
    """What became of a member: one of joined, refuted, returned, reborn, suspected, lost, went; or of this
    server's own name, name_taken."""

    name: str
    what: str
    member: Member


class Probe:
    """One under way."""

    __slots__ = ("asked_others", "deadline", "indirect_at", "nacks", "name", "number")

    def __init__(self, number, name, indirect_at, deadline):
        self.number, self.name, self.indirect_at, self.deadline = number, name, indirect_at, deadline
        self.asked_others, self.nacks = 0, 0


def readable(news):
    """Whether a piece of news has the form that `Member.news` gives."""
    if not isinstance(news, list) or len(news) != 7:
        return False
    *words, life, incarnation, state = news
    return (
        all(isinstance(word, str) and len(word) <= ADDRESS for word in words)
        and all(words[:2])
        and all(
            isinstance(number, int) and not isinstance(number, bool) and 0 <= number < 2**62
            for number in (life, incarnation)
        )
        and state in (ALIVE, SUSPECTED, GONE, LEFT)
    )


class Membership:
    def __init__(self, name, address, zone, life, seeds, chance, now, period=PERIOD):
        """seeds: addresses to join by. life: larger than that of any earlier start of this name, as far as
        this server can tell; where another's list knows better it takes a larger one."""
        self.period = period  # s between probes
        self.me = Member(name, address, zone, life, 0, ALIVE, now)
        self.members = {}  # name -> Member, without this one
        self.seeds, self.chance = [seed for seed in seeds if seed != address], chance
        self.changes, self.leaving = [], False
        self.doubt, self.number = 0, 0
        self.probe, self.next_probe, self.order = None, now + self.period * chance.share(), []
        self.relayed = {}  # number of a probe for others -> (who asked, its number, until, who is probed)
        self.suspicions = {}  # name -> [since, those who confirmed it]
        self.gossip = {}  # name -> [times sent, news]
        self.next_sync, self.join_at, self.next_chat = now + SYNC * chance.share(), now, now
        self.out = []

    # ---- what others ask of it

    def alive(self):
        """Names of those that are not known to be gone, this one among them."""
        there = [m.name for m in self.members.values() if m.state in (ALIVE, SUSPECTED)]
        return sorted([self.me.name, *there])

    def get(self, name):
        return self.me if name == self.me.name else self.members.get(name)

    def take_changes(self):
        taken, self.changes = self.changes, []
        return taken

    def leave(self, now):
        """This server goes by itself: the others hear so."""
        self.leaving = True
        self.me = self.me._replace(state=LEFT, incarnation=self.me.incarnation + 1, since=now)
        self.out = []
        self._spread(self.me)
        for member in self._some(HELPERS, ()):
            self._send(member, "ping", [self._number()])
        return self.out

    # ---- time

    def tick(self, now):
        """To be called ten times a second or so: what is due is done."""
        self.out = []
        if self.leaving:
            return self.out
        self._expire(now)
        if not any(m.state in (ALIVE, SUSPECTED) for m in self.members.values()) and now >= self.join_at:
            self.join_at = now + self.period * (1 + self.chance.share())
            for seed in self.seeds:
                self._join_by(seed)
        if self.probe is not None:
            self._go_on(now)
        if self.probe is None and now >= self.next_probe:
            self._begin(now)
        if self.gossip and now >= self.next_chat:
            self.next_chat = now + CHAT * self.period
            for member in self._some(TO, ()):
                self._send(member, "news", [])
        if now >= self.next_sync:
            self.next_sync = now + SYNC * (0.75 + 0.5 * self.chance.share())
            for member in self._some(1, ()):
                self._send_list(member, True)
            self._ask_a_seed()
        return self.out

    def _join_by(self, seed):
        self.out.append((None, seed, "sync", [True, self._list()[:SYNCED], self._news()]))

    def _ask_a_seed(self):
        """One that is not known to be there: after a long cut each side has forgotten the other."""
        there = {m.address for m in self.members.values() if m.state in (ALIVE, SUSPECTED)}
        away = [seed for seed in self.seeds if seed not in there]
        if away:
            self._join_by(away[int(self.chance.share() * len(away))])

    def _period(self):
        return self.period * (1 + self.doubt)

    def _begin(self, now):
        """The next member in an order that is drawn anew each round: each is probed once a round."""
        self.next_probe = now + self._period()
        while self.order:
            member = self.members.get(self.order.pop())
            if member is not None and member.state in (ALIVE, SUSPECTED):
                number = self._number()
                self.probe = Probe(number, member.name, now + DIRECT * self._period(), now + self._period())
                self._send(member, "ping", [number], about=member)
                return
        names = [m.name for m in self.members.values() if m.state in (ALIVE, SUSPECTED)]
        self.order = self._shuffled(names)

    def _go_on(self, now):
        probe, member = self.probe, self.members.get(self.probe.name)
        if member is None or member.state not in (ALIVE, SUSPECTED):
            self.probe = None
        elif now >= probe.deadline:
            self.probe = None
            # Who can't even be heard by those it asks doubts itself: a nack says that they were there.
            missed = probe.asked_others - probe.nacks
            self._doubt(1 + max(0, missed) if probe.asked_others else 1)
            self._told(now, member._replace(state=SUSPECTED, accuser=self.me.name).news())
        elif not probe.asked_others and now >= probe.indirect_at:
            for helper in self._some(HELPERS, (member.name,)):
                probe.asked_others += 1
                self._send(helper, "ask", [probe.number, member.name, member.address])
            probe.asked_others = probe.asked_others or -1  # nobody to ask: not asked again

    def _doubt(self, steps):
        self.doubt = min(DOUBT, max(0, self.doubt + steps))

    def _expire(self, now):
        for name in list(self.suspicions):
            since, confirmed, asked = self.suspicions[name]
            member = self.members[name]
            if now - since >= self.suspicion_time(len(confirmed) - 1):
                self._told(now, member._replace(state=GONE).news())
            elif now - asked >= self.period:  # its own word refutes the surest: gossip may miss one in twenty
                self.suspicions[name][2] = now
                self._send(member, "ping", [self._number()], about=member)
        for number, (who, theirs, until, _) in list(self.relayed.items()):
            if now >= until:
                del self.relayed[number]
                asker = self.members.get(who)
                if asker is not None:
                    self._send(asker, "nack", [theirs])
        for member in list(self.members.values()):
            if member.state in (GONE, LEFT) and now - member.since > FORGET:
                del self.members[member.name]
                self.gossip.pop(member.name, None)

    def suspicion_time(self, confirmations):
        """s from a suspicion to gone: less for each that confirms it by itself."""
        count = 1 + len([m for m in self.members.values() if m.state in (ALIVE, SUSPECTED)])
        least = SUSPICION * max(1.0, math.log10(max(2, count))) * self.period * (1 + self.doubt)
        share = math.log(1 + min(CONFIRMATIONS, max(0, confirmations))) / math.log(1 + CONFIRMATIONS)
        return least * (1 + (SLACK - 1) * (1 - share))

    # ---- messages

    def hear(self, now, sender, life, kind, fields, address):
        """A message from a peer, which came over a link from that address; what can't be read is ignored.
        Returns what to send."""
        self.out = []
        act = self.KINDS.get(kind)
        known = self.members.get(sender)
        if act is None or self.leaving or sender == self.me.name or known is not None and life < known.life:
            return self.out  # of an earlier life, or of one that has this server's own name
        if not fields or not isinstance(fields[-1], list):  # the last is always news
            return self.out
        for news in fields[-1][:GOSSIP]:
            if readable(news):
                self._told(now, news)
        act(self, now, sender, fields[:-1])
        return self.out

    def on_ping(self, now, sender, fields):
        member = self.members.get(sender)
        if member is not None and fields and isinstance(fields[0], int):
            self._send(member, "ack", [fields[0]])

    def on_ask(self, now, sender, fields):
        """Another can't hear a member: this one probes it, and says either way that it was there itself."""
        if len(fields) != 3 or len(self.relayed) >= MEMBERS:
            return
        theirs, name, _ = fields
        target = self.members.get(name) if isinstance(name, str) else None
        if target is not None and isinstance(theirs, int):
            number = self._number()
            self.relayed[number] = sender, theirs, now + DIRECT * self.period, name
            self._send(target, "ping", [number], about=target)

    def on_ack(self, now, sender, fields):
        number = fields[0] if fields else None
        if not isinstance(number, int):
            return
        if number in self.relayed:
            who, theirs, _, name = self.relayed[number]
            if name == sender:
                del self.relayed[number]
                asker = self.members.get(who)
                if asker is not None:
                    self._send(asker, "heard", [theirs, name])
        elif self.probe is not None and (number, sender) == (self.probe.number, self.probe.name):
            self.probe = None
            self._doubt(-1)

    def on_heard(self, now, sender, fields):
        if self.probe is not None and fields == [self.probe.number, self.probe.name]:
            self.probe = None
            self._doubt(-1)

    def on_nack(self, now, sender, fields):
        if self.probe is not None and fields == [self.probe.number]:
            self.probe.nacks += 1

    def on_sync(self, now, sender, fields):
        """Whole lists, both ways: for who joins, and now and then."""
        if len(fields) != 2 or not isinstance(fields[1], list):
            return
        wants, listed = fields
        for news in listed[:SYNCED]:
            if readable(news):
                self._told(now, news)
        member = self.members.get(sender)
        if wants is True and member is not None:
            self._send_list(member, False)

    KINDS = {
        "ping": on_ping,
        "ask": on_ask,
        "ack": on_ack,
        "heard": on_heard,
        "nack": on_nack,
        "sync": on_sync,
        "news": lambda self, now, sender, fields: None,
    }

    def _list(self):
        return [self.me.news(), *(m.news() for m in self.members.values())]

    def _send_list(self, member, wants):
        """In messages of SYNCED each; the first asks for the other's."""
        news = self._list()
        for start in range(0, len(news), SYNCED):
            self._send(member, "sync", [wants and start == 0, news[start : start + SYNCED]])

    # ---- what is known

    def _told(self, now, news):
        """The loop's body: a piece of news."""
        name, address, zone, accuser, life, incarnation, state = news
        if name == self.me.name:
            self._told_of_me(now, address, life, incarnation, state)
            return
        known = self.members.get(name)
        how = self._stands(known, life, incarnation)
        found = TABLE.get((UNKNOWN if known is None else known.state, state, how))
        if found is None or known is None and len(self.members) >= MEMBERS:
            return
        state, effect = found
        if effect == "confirm":
            confirmed = self.suspicions[name][1]
            if accuser not in confirmed and len(confirmed) <= CONFIRMATIONS:
                confirmed.add(accuser)
                self._spread(known._replace(accuser=accuser))
            return
        since = now if known is None or known.state != state else known.since
        member = self.members[name] = Member(name, address, zone, life, incarnation, state, since, accuser)
        self._spread(member)
        if state == SUSPECTED:
            self.suspicions[name] = [now, {accuser}, now]
        else:
            self.suspicions.pop(name, None)
        if effect != "note":
            self.changes.append(Change(name, "suspected" if effect == "suspect" else effect, member))

    def _stands(self, known, life, incarnation):
        if known is None or life > known.life:
            return NEW_LIFE
        if life < known.life or incarnation < known.incarnation:
            return OLDER
        return NEWER if incarnation > known.incarnation else SAME

    def _told_of_me(self, now, address, life, incarnation, state):
        """Refutes what is said of this server; one that says it has this name elsewhere is told of."""
        me = self.me
        if address != me.address and state in (ALIVE, SUSPECTED) and life >= me.life:
            self.changes.append(Change(me.name, "name_taken", me._replace(address=address, life=life)))
            return
        if life > me.life:  # an earlier start's: a clock was set back since
            self.me = me._replace(life=life + 1, incarnation=0)
            self._spread(self.me)
        elif life == me.life and incarnation >= me.incarnation and state != ALIVE:
            self.me = me._replace(incarnation=incarnation + 1)
            self._doubt(1)
            self._spread(self.me)

    def _spread(self, member):
        self.gossip[member.name] = [0, member.news()]

    # ---- sending

    def _number(self):
        self.number += 1
        return self.number

    def _send(self, member, kind, fields, about=None):
        self.out.append((member.name, member.address, kind, [*fields, self._news(about)]))

    def _news(self, about=None):
        """What was sent the least often so far; what is suspected of whom it goes to comes first, so that it
        can be refuted at once."""
        most = SPREAD * math.ceil(math.log10(2 + len(self.members)))
        chosen = sorted(
            self.gossip.items(), key=lambda item: (about is None or item[0] != about.name, item[1][0])
        )[: GOSSIP - 1]
        for name, row in chosen:
            row[0] += 1
            if row[0] >= most:
                del self.gossip[name]
        news = [row[1] for _, row in chosen if row[1][0] != self.me.name]
        if about is not None and about.state == SUSPECTED and all(one[0] != about.name for one in news):
            news = [about.news(), *news[: GOSSIP - 2]]
        return [self.me.news(), *news]

    def _shuffled(self, names):
        names = sorted(names)
        for index in range(len(names) - 1, 0, -1):
            other = int(self.chance.share() * (index + 1))
            names[index], names[other] = names[other], names[index]
        return names

    def _some(self, count, without):
        names = [m.name for m in self.members.values() if m.state == ALIVE and m.name not in without]
        return [self.members[name] for name in self._shuffled(names)[:count]]

"""The members of the cluster as this server knows them, and the transitions between their states.

After "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol" (Das, Gupta,
Motivala), section 4.2: which of two statements about a member overrides the other. SWIM's order by
incarnation number is extended by a generation, which increases at each start of a member's process: a
statement about a later generation overrides all statements about earlier ones.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from .limits import MEMBERS
from .member_messages import ALIVE, DEAD, LEFT, SUSPECTED, UNKNOWN, MemberUpdate, WireUpdate

# The words that `status` prints for the states, by state.
STATE_NAMES = ("unknown", "alive", "suspected", "gone", "left")

# Precedence of an update over the known record: a newer generation, or the same generation with a newer, the
# same or an older incarnation. An update about an older generation counts as OLDER.
NEW_GENERATION, NEWER, SAME, OLDER = range(4)

FORGET_AFTER = (
    120.0  # seconds that a dead or departed member is kept; far longer than an update takes to spread
)


class Effect(StrEnum):
    """The effect of an update besides replacing the member's record."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    CONFIRMED = "confirmed"  # another member suspects it independently: the record stays
    REFUTED = "refuted"
    RETURNED = "returned"
    RESTARTED = "restarted"
    DEAD = "dead"
    LEFT = "left"
    NAME_CONFLICT = "name_conflict"  # another server uses this server's name
    RECORDED = "recorded"  # not reported


# (known state, stated state, precedence) -> effect; the next state is the stated one. A combination that is
# missing changes nothing: OLDER never does.
TRANSITIONS = {
    (UNKNOWN, ALIVE, NEW_GENERATION): Effect.JOINED,
    (UNKNOWN, SUSPECTED, NEW_GENERATION): Effect.SUSPECTED,
    (UNKNOWN, DEAD, NEW_GENERATION): Effect.RECORDED,
    (UNKNOWN, LEFT, NEW_GENERATION): Effect.RECORDED,
    (ALIVE, ALIVE, NEWER): Effect.RECORDED,
    (ALIVE, SUSPECTED, SAME): Effect.SUSPECTED,
    (ALIVE, SUSPECTED, NEWER): Effect.SUSPECTED,
    (ALIVE, DEAD, SAME): Effect.DEAD,
    (ALIVE, DEAD, NEWER): Effect.DEAD,
    (ALIVE, LEFT, SAME): Effect.LEFT,
    (ALIVE, LEFT, NEWER): Effect.LEFT,
    (SUSPECTED, ALIVE, NEWER): Effect.REFUTED,
    (SUSPECTED, SUSPECTED, SAME): Effect.CONFIRMED,
    (SUSPECTED, SUSPECTED, NEWER): Effect.SUSPECTED,
    (SUSPECTED, DEAD, SAME): Effect.DEAD,
    (SUSPECTED, DEAD, NEWER): Effect.DEAD,
    (SUSPECTED, LEFT, SAME): Effect.LEFT,
    (SUSPECTED, LEFT, NEWER): Effect.LEFT,
    (DEAD, ALIVE, NEWER): Effect.RETURNED,
    (DEAD, SUSPECTED, NEWER): Effect.SUSPECTED,
    (DEAD, LEFT, SAME): Effect.RECORDED,
    (DEAD, LEFT, NEWER): Effect.RECORDED,
    **{(known, ALIVE, NEW_GENERATION): Effect.RESTARTED for known in (ALIVE, SUSPECTED, DEAD, LEFT)},
    **{(known, SUSPECTED, NEW_GENERATION): Effect.SUSPECTED for known in (ALIVE, SUSPECTED, DEAD, LEFT)},
    **{(known, DEAD, NEW_GENERATION): Effect.DEAD for known in (ALIVE, SUSPECTED)},
    **{(known, DEAD, NEW_GENERATION): Effect.RECORDED for known in (DEAD, LEFT)},
    **{(known, LEFT, NEW_GENERATION): Effect.LEFT for known in (ALIVE, SUSPECTED)},
    **{(known, LEFT, NEW_GENERATION): Effect.RECORDED for known in (DEAD, LEFT)},
}


class Member(NamedTuple):
    """One server of the cluster as known here."""

    name: str
    address: str  # host:port on which it accepts its peers
    zone: str
    generation: int  # of its process: larger at each start
    incarnation: int  # SWIM's, within the generation
    state: int
    since: float  # seconds of this server's clock at which it entered this state
    suspected_by: str = ""  # the member whose own probe failed

    def update(self) -> MemberUpdate:
        """Return the statement about this member that others are to receive."""
        return MemberUpdate(
            self.name,
            self.address,
            self.zone,
            self.suspected_by,
            self.generation,
            self.incarnation,
            self.state,
        )

    def to_wire(self) -> WireUpdate:
        """Return `update` as it is packed into a message."""
        return list(self.update())


class MemberChange(NamedTuple):
    """A reported change of a member, or NAME_CONFLICT for this server's own name."""

    name: str
    effect: Effect
    member: Member


def precedence(known: Member | None, generation: int, incarnation: int) -> int:
    """Return the precedence of an update with these numbers over the known record."""
    if known is None or generation > known.generation:
        return NEW_GENERATION
    if generation < known.generation or incarnation < known.incarnation:
        return OLDER
    return NEWER if incarnation > known.incarnation else SAME


class MemberTable:
    """All known members except this server: at most MEMBERS."""

    def __init__(self) -> None:
        self.by_name: dict[str, Member] = {}

    def __len__(self) -> int:
        return len(self.by_name)

    def get(self, name: str) -> Member | None:
        """Return a member's record, or None if it is unknown."""
        return self.by_name.get(name)

    def live(self) -> Iterator[Member]:
        """Yield the members that are alive or suspected."""
        return (member for member in self.by_name.values() if member.state in (ALIVE, SUSPECTED))

    def live_count(self) -> int:
        """Return how many members are alive or suspected."""
        return sum(1 for _ in self.live())

    def apply(self, now: float, update: MemberUpdate) -> MemberChange | None:
        """Let an update override what is known of a member.

        Args:
            now: s of this server's clock.
            update: a statement about another member.

        Returns:
            The change, with the member's record after it, or None if the update changes nothing.
        """
        known = self.by_name.get(update.name)
        known_state = UNKNOWN if known is None else known.state
        relation = precedence(known, update.generation, update.incarnation)
        effect = TRANSITIONS.get((known_state, update.state, relation))
        if effect is None or known is None and len(self.by_name) >= MEMBERS:
            return None
        if effect is Effect.CONFIRMED and known is not None:
            return MemberChange(update.name, effect, known._replace(suspected_by=update.suspected_by))
        since = now if known is None or known.state != update.state else known.since
        member = Member(
            update.name,
            update.address,
            update.zone,
            update.generation,
            update.incarnation,
            int(update.state),
            since,
            update.suspected_by,
        )
        self.by_name[update.name] = member
        return MemberChange(update.name, effect, member)

    def forget_departed(self, now: float) -> list[str]:
        """Remove members that have been dead or departed for FORGET_AFTER and return their names."""
        departed = [
            member.name
            for member in self.by_name.values()
            if member.state in (DEAD, LEFT) and now - member.since > FORGET_AFTER
        ]
        for name in departed:
            del self.by_name[name]
        return departed

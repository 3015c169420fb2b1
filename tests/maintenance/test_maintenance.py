"""The order of turns and a server's place in it, without I/O."""

from types import SimpleNamespace as Stub

import pytest

from valeturn.cluster.member_messages import ALIVE, LEFT
from valeturn.cluster.member_table import Member
from valeturn.cluster.replicated_state import ClusterState, decode_command
from valeturn.lab import turns as lab
from valeturn.maintenance import drain_schedule as od
from valeturn.maintenance import local_drain as pl
from valeturn.maintenance.coordinator import Turns
from valeturn.transport.seeded_random import Chance

LIMITS = od.Limits(most=1, share=1.0, one_zone=True, spare=0.1, answers=5, idle=30.0, keep=True)


def view(name, zone="a", **how):
    return od.View(
        **{"name": name, "zone": zone, "life": 1, "there": True, "busy": 0.2, "answers": 100, **how}
    )


def facts_of(*rows, facts=None):
    facts = facts or ClusterState()
    for row in rows:
        facts = facts.apply(decode_command(("turn", row.packed())))
    return facts


class Owner:
    """An order with its log."""

    def __init__(self, *rows, limits=LIMITS, lease=1.0, lasts=1.5, now=0.0):
        self.facts, self.order, self.now = facts_of(*rows), od.Order(limits, lease, lasts, now), now

    def rows(self):
        return {row[0]: od.read_row(row) for row in self.facts.maintenance_records}

    def look(self, views, seconds=0.1, held=False):
        self.now += seconds
        views = {
            one.name: one._replace(heard=self.now) if one.there and not one.heard else one for one in views
        }
        for fact in self.order.look(self.now, list(self.rows().values()), views, held):
            self.facts = self.facts.apply(decode_command(fact))
        return {name: row.state for name, row in self.rows().items()}


def asked(*names, **how):
    return [
        od.Row(name, number + 1, "kernel", False, 60.0)._replace(**how) for number, name in enumerate(names)
    ]


def test_one_goes_out_and_returns_before_the_next():
    owner, names = Owner(*asked("a", "b", "c")), "abc"
    views = [view(name) for name in names]
    assert owner.look(views) == {"a": od.GRANTED, "b": od.WAITING, "c": od.WAITING}
    owner.look(views)
    assert owner.order.reasons["b"].startswith("waits for a, granted")
    fence = owner.rows()["a"].fence
    assert fence == 1 and owner.order.word(owner.now, owner.rows()["a"], views[0]) == ("out", 1)
    for doing, state in ((od.DRAINING, od.DRAINING), (od.EMPTY, od.EMPTY)):
        views[0] = view("a", doing=doing, fence=fence)
        assert owner.look(views)["a"] == state
    assert owner.look(views)["a"] == od.WORKING and owner.look(views)["b"] == od.WAITING
    assert owner.order.word(owner.now, owner.rows()["a"], views[0]) == ("work", 1)
    views[0] = view("a", there=False)
    owner.look(views)
    views[0] = view("a", life=2, warm=0.5, answers=0)
    assert owner.look(views)["a"] == od.WARMING
    assert owner.order.word(owner.now, owner.rows()["a"], views[0]) == ("returned", 1)
    views[0] = view("a", life=2, answers=3)
    assert owner.look(views)["a"] == od.WARMING, "it has not proved itself yet"
    views[0] = view("a", life=2, answers=5)
    assert "a" not in owner.look(views)
    assert owner.look(views) == {"b": od.GRANTED, "c": od.WAITING}
    assert owner.rows()["b"].fence == 2


@pytest.mark.parametrize(
    "views, why",
    [
        ([view("a", strained=True), view("b")], "under strain: a"),
        ([view("a", busy=0.95), view("b", busy=0.95)], "its cores are needed"),
        ([view("a"), view("b", there=False), view("c")], "waits for b, which was lost"),
        ([view("a", heard=-50.0), view("b"), view("c")], "it has not reported"),
        ([view("a"), view("b", heard=-50.0), view("c", heard=-50.0)], "too few servers report"),
        ([view("a", there=False), view("b"), view("c")], "it is not there"),
    ],
)
def test_why_one_waits_is_told(views, why):
    owner = Owner(*asked("a"))
    assert owner.look(views) == {"a": od.WAITING} and why in owner.order.reasons["a"]


def test_held_by_an_operator_nobody_else_goes():
    owner = Owner(*asked("a"))
    assert owner.look([view("a"), view("b")], held=True) == {"a": od.WAITING}
    assert "held" in owner.order.reasons["a"]


def test_one_zone_at_a_time_and_no_starvation():
    limits = LIMITS._replace(most=2)
    rows = asked(*(f"a{n}" for n in range(12)))
    rows.insert(1, od.Row("b0", 1, "kernel", False, 60.0))
    owner, lives, order, most = Owner(*rows, limits=limits), {}, [], 0
    names = [row.server for row in rows] + [f"x{n}" for n in range(12)]
    state = {name: ("in", 0.0) for name in names}
    for _ in range(4000):
        views = []
        for name in names:
            doing, at = state[name]
            row = owner.rows().get(name)
            life = lives.get(name, 1)
            if doing == "in" and row is not None and row.state == od.GRANTED and row.life == life:
                state[name] = ("empty", owner.now)
                order.append(name)
            elif doing == "empty" and row.state == od.WORKING:
                state[name] = ("away", owner.now)
            elif doing == "away" and owner.now - at > 1:
                state[name], lives[name] = ("in", owner.now), life + 1
            doing = state[name][0]
            views.append(
                view(
                    name,
                    zone=name[0],
                    there=doing != "away",
                    life=lives.get(name, 1),
                    fence=getattr(row, "fence", 0),
                    doing=od.EMPTY if doing == "empty" else od.WAITING,
                )
            )
        owner.look(views)
        out = [row.server for row in owner.rows().values() if row.state != od.WAITING]
        most = max(most, len(out))
        assert len({name[0] for name in out}) <= 1, out
        if not owner.rows():
            break
    assert not owner.rows() and most == 2 and sorted(order) == sorted(row.server for row in rows)
    assert order.index("b0") <= od.PASSED + 2, order


def test_a_grant_that_nobody_took_up_goes_back_in_line_only_when_it_can_t_be_taken_any_more():
    owner = Owner(*asked("a"))
    views = [view("a"), view("b"), view("c")]
    owner.look(views)
    row = owner.rows()["a"]
    owner.order.word(owner.now, row, views[0])
    told = owner.now
    while owner.now < told + 1.4:
        assert owner.look(views)["a"] == od.GRANTED
    owner.facts = facts_of(row._replace(unwanted=True), facts=owner.facts)
    assert owner.order.word(owner.now, owner.rows()["a"], views[0]) == ("stay", 0)
    while owner.now < told + 1.6:
        owner.look(views)
    owner.look(views)
    assert "a" not in owner.look(views), "taken back while it waited"


def test_a_grant_is_not_taken_back_before_the_server_had_time_to_hear_of_it():
    """The owner is an old one, and its look comes before the server's next report."""
    owner = Owner(*asked("a"), now=100.0)
    owner.order.since_owner = 0.0
    views = [view("a"), view("b"), view("c")]
    owner.look(views)
    for _ in range(12):
        assert owner.look(views)["a"] == od.GRANTED
    assert owner.rows()["a"].fence == 1


def test_one_that_drains_is_no_strain_of_the_fleet():
    owner = Owner(asked("a")[0]._replace(state=od.EMPTY, life=1, fence=1))
    views = [view("a", doing=od.EMPTY, fence=1, strained=True), view("b"), view("c")]
    assert owner.look(views)["a"] == od.WORKING


def test_who_was_cut_off_in_its_turn_keeps_its_place_taken_until_it_is_heard_to_serve():
    owner = Owner(*asked("a", "b"))
    views = [view("a"), view("b"), view("c")]
    owner.look(views)
    owner.order.word(owner.now, owner.rows()["a"], views[0])
    views[0] = view("a", there=False)
    assert owner.look(views, 30.0)["a"] == od.WORKING and owner.look(views)["b"] == od.WAITING
    views[0] = view("a")
    assert owner.look(views)["a"] == od.WORKING, "a word that it was given may still be good"
    owner.look(views, 2.0)
    assert owner.look(views)["a"] in (od.WAITING, od.GRANTED), "it had never left"
    assert owner.rows()["a"].fence in (0, 2)


def test_one_that_does_not_return_is_told_of_and_keeps_its_place_unless_the_file_says_otherwise():
    for keep in (True, False):
        owner = Owner(*asked("a", "b", state=od.WAITING), limits=LIMITS._replace(keep=keep))
        owner.facts = facts_of(asked("a")[0]._replace(state=od.WORKING, life=1, fence=1), facts=owner.facts)
        views = [view("a", there=False), view("b"), view("c")]
        owner.look(views)
        owner.look(views, 61.0)
        rows = owner.rows()
        assert ("a" in rows) is keep and (not keep or rows["a"].late)
        owner.look(views)
        assert owner.rows()["b"].state == od.WAITING, "it is lost all the same"
    later = view("a", life=2, answers=9)
    owner = Owner(asked("a")[0]._replace(state=od.WORKING, life=1, fence=1, late=True))
    owner.look([later, view("b")])
    assert not owner.rows()["a"].late and owner.rows()["a"].state == od.WARMING


def test_who_is_empty_comes_back_when_a_third_of_the_others_is_lost():
    limits = LIMITS._replace(most=3)
    names = "abcdef"
    owner = Owner(*asked(*names), limits=limits)
    owner.facts = facts_of(asked("a")[0]._replace(state=od.EMPTY, life=1, fence=1), facts=owner.facts)
    views = [view("a", doing=od.EMPTY, fence=1, busy=0.0)] + [view(name, busy=0.6) for name in "bcdef"]
    fine = Owner(limits=limits)
    fine.facts = owner.facts
    assert fine.look(views)["a"] == od.WORKING
    views = (
        [views[0]] + [view(name, busy=0.97) for name in "bcd"] + [view(name, there=False) for name in "ef"]
    )
    assert owner.look(views)["a"] == od.RETURNING
    assert owner.order.word(owner.now, owner.rows()["a"], views[0]) == ("back", 1)
    assert owner.look([view("a", life=2, answers=9, busy=0.97), *views[1:]])["a"] == od.WARMING


def test_a_new_owner_decides_nothing_before_it_has_heard():
    owner = Owner(*asked("a", "b", "c"), now=100.0)
    silent = [view(name, heard=-1e9) for name in "abc"]
    assert set(owner.look(silent).values()) == {od.WAITING}
    assert owner.look([view("a"), *silent[1:]])["a"] == od.WAITING
    assert owner.look([view("a"), view("b"), silent[2]])["a"] == od.GRANTED


class AtOwner(Owner):
    """The order at the owner's server, with reports and a membership: the server's own part as it is."""

    def __init__(self, *rows):
        super().__init__(*rows)
        fleet = Stub(
            name="o",
            options=Stub(lease=1.0, zone="z"),
            scheduler=None,
            task_processes=Stub(environment={}),
            others=[],
            clock=lambda: self.now,
            facts=lambda: (None, self.facts, "o"),
            owner_now=lambda: "o",
            leads=lambda now: False,
            membership=Stub(local=self.member("o", 1), members={}),
        )
        self.turns = Turns(fleet, Stub(patience=9.0), None, None, None)
        self.turns.order = self.order

    @staticmethod
    def member(name, life, state=ALIVE):
        return Member(name, "", "a", life, 0, state, 0.0)

    def joins(self, name, life, state=ALIVE):
        self.turns.fleet.membership.members[name] = self.member(name, life, state)

    def reports(self, name, life):
        self.turns.on_report(self.now, name, 0.0, life, "a", 1.0, 0.1, 1.0, False, 100, od.WAITING, 0)

    def look(self):
        return super().look(list(self.turns.views(self.now).values()))


@pytest.mark.parametrize("late", [False, True])
def test_a_turn_is_of_the_life_that_is_there_not_of_the_last_report(late):
    """It left by the platform's notice while it waited, and is back: what its earlier life said, heard before
    or after that is known, grants nothing, so that it does go out in its new one."""
    owner = AtOwner(*asked("a"))
    owner.joins("a", 1)
    owner.reports("o", 1)
    owner.reports("a", 1)
    owner.joins("a", 1, LEFT)
    assert owner.look() == {"a": od.WAITING}
    owner.joins("a", 2)
    if late:
        owner.reports("a", 1)
    assert owner.look() == {"a": od.WAITING} and owner.order.reasons["a"] == "it has not reported"
    owner.reports("a", 2)
    assert owner.look() == {"a": od.GRANTED} and owner.rows()["a"].life == 2
    owner.reports("a", 2)
    assert owner.look() == {"a": od.GRANTED}, "it has yet to go"
    owner.reports("a", 1)
    assert owner.look() == {"a": od.GRANTED}, "a late report of the life before is no end of this one"
    owner.joins("a", 3)
    assert owner.look() == {"a": od.WORKING}, "the life that was granted its turn is over"


def test_by_any_inputs_no_more_are_out_than_allowed_and_every_request_ends():
    """Beside it, plainly: who was granted and has not been in since is out."""
    for seed in range(40):
        chance = Chance(seed * 7 + 1)
        for _ in range(5):
            chance.share()
        names, limits = [f"n{n}" for n in range(7)], LIMITS._replace(most=2, one_zone=seed % 2 == 0)
        owner = Owner(*asked(*names), limits=limits)
        real = {name: ["in", 1, 0.0, 0] for name in names}  # doing, life, since, fence
        last = {name: None for name in names}
        for step in range(3000):
            out = {name for name, one in real.items() if one[0] in ("drains", "empty", "away")}
            assert len(out) <= 2, (seed, out)
            if limits.one_zone:
                assert len({int(name[1:]) % 3 for name in out}) <= 1
            for name, one in real.items():
                row = owner.rows().get(name)
                seen = last[name]
                if one[0] in ("in", "drains", "empty") and chance.share() < 0.6:  # a report arrives
                    last[name] = seen = view(
                        name,
                        zone=f"z{int(name[1:]) % 3}",
                        life=one[1],
                        fence=one[3],
                        doing={"in": 0, "drains": 2, "empty": 3}[one[0]],
                        heard=owner.now,
                    )
                    verb, fence = owner.order.word(owner.now, row, seen)
                    if chance.share() < 0.8:  # and its answer comes in time
                        if verb == "out" and one[0] == "in":
                            real[name] = ["drains", one[1], owner.now, fence]
                        elif verb == "work" and one[0] == "empty":
                            real[name] = ["away", one[1], owner.now, 0]
                        elif verb == "back" and one[0] == "empty":
                            real[name] = ["in", one[1] + 1, owner.now, 0]
                elif one[0] == "drains" and owner.now - one[2] > 0.5:
                    real[name] = ["empty", *one[1:]]
                elif one[0] == "away" and owner.now - one[2] > 1.0 and chance.share() < 0.3:
                    real[name] = ["in", one[1] + 1, owner.now, 0]
            views = [
                (last[name] or view(name, heard=-1e9))._replace(there=real[name][0] != "away")
                for name in names
            ]
            if chance.share() < 0.003:  # another owner: it knows the log alone
                owner.order = od.Order(limits, 1.0, 1.5, owner.now)
            owner.look(views)
            if not owner.rows():
                break
        assert not owner.rows(), (seed, owner.rows(), owner.order.reasons)


# ---- a server's place


def test_a_word_that_comes_late_or_under_a_lower_number_is_refused_at_the_last_look():
    place = pl.Place(0.0, 1.5, 10.0)
    stamp = place.asked(1.0)
    assert place.told(2.6, stamp, "out", 3) is None and place.refused == 1 and place.state == pl.SERVES
    assert place.told(1.2, 0.7, "out", 3) is None, "an asking that it does not know"
    assert place.told(1.2, stamp, "out", 3) == "drain" and place.fence == 3
    assert place.drained(2.0) == "tell" and place.state == pl.EMPTY
    stamp = place.asked(2.1)
    assert place.told(2.2, stamp, "work", 2) is None and place.told(2.2, stamp, "work", 4) is None
    assert place.told(2.2, stamp, "work", 3) == "work" and place.state == pl.AT_WORK


def test_the_platform_s_notice_goes_first_and_an_empty_one_does_not_wait_for_ever():
    for way in ([], [pl.OUT], [pl.OUT, pl.DRAINED]):
        place = pl.Place(0.0, 1.5, 10.0)
        for given in way:
            place.step(0.0, given)
        assert place.notice(1.0) in ("leave", "end") and place.state == pl.LEAVES
        assert place.told(1.0, place.asked(1.0), "out", 9) is None
    place = pl.Place(0.0, 1.5, 10.0)
    place.step(0.0, pl.OUT)
    place.drained(1.0)
    place.heard(5.0)
    assert place.tick(14.0) is None and place.tick(15.1) == "end"


# ---- a whole release


def test_a_release_of_sixty_servers_holds_service_where_plainer_ways_do_not():
    found = {way: play(lab.Release(60, 0.85, 3, 0.1)) for way, play in lab.WAYS.items() if "one" not in way}
    order = found["order"]
    assert order["took"] < 20000 and order["served"] > 0.99
    assert order["served"] > found["a tenth, pause 20 s"]["served"] > found["all at once"]["served"]
    assert order["worst_10s"] > found["a tenth, pause 20 s"]["worst_10s"] + 0.02

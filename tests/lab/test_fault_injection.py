"""Hard cases of the owner, each with several processes of the program and the fault injected between them.

All play side by side, a few at a time, as most of their time is waiting; each test judges one.
"""

import asyncio
import json
import signal

import pytest
from fabric_cases import EFFECT, Cases, nothing_broken

from valeturn.lab.fault_injection.storm import DUTIES, MUST_NOT, play

case = Cases()


def effects_of(fleet, server):
    return [one for one in fleet.world.effects if one.server == server]


async def until_effects(fleet, server, more=3):
    """The server's command is at work."""
    before = len(effects_of(fleet, server))

    async def seen():
        return len(effects_of(fleet, server)) >= before + more

    await fleet.until(seen, 15)


async def gone(fleet, server, quiet=0.4):
    """Whether it has no more effects."""
    before = len(effects_of(fleet, server))
    await asyncio.sleep(quiet)
    return len(effects_of(fleet, server)) == before


@case()
async def stopped_between_look_and_effect(fleet):
    old = await fleet.until_owned()
    await until_effects(fleet, old)
    fleet.stop(old)
    new = await fleet.until_owned(but=old)
    await until_effects(fleet, new)
    fleet.go_on(old, pause=0.1)  # the command first: what it was about to do it does
    await asyncio.sleep(0.3)
    assert nothing_broken(fleet)["stale_effects_refused"] > 0
    assert await gone(fleet, old) and not await gone(fleet, new)


@case(fenced=False)
async def the_same_without_fences_does_harm(fleet):
    old = await fleet.until_owned()
    await until_effects(fleet, old)
    fleet.stop(old)
    new = await fleet.until_owned(but=old)
    await until_effects(fleet, new)
    fleet.go_on(old, pause=0.1)
    await asyncio.sleep(0.3)
    assert fleet.judge()["stale_effects_done"] > 0, "the witness can't fail"


@case()
async def the_effect_already_in_the_kernel_s_buffer(fleet):
    old = await fleet.until_owned()
    await until_effects(fleet, old)
    fleet.world.held[old] = asyncio.Event()
    await asyncio.sleep(0.2)
    await fleet.kill(old)
    new = await fleet.until_owned(but=old)
    await until_effects(fleet, new)
    fleet.world.held[old].set()
    await asyncio.sleep(0.3)
    assert nothing_broken(fleet)["stale_effects_refused"] > 0


@case()
async def a_cut_that_lets_the_owner_send_and_not_hear(fleet):
    old = await fleet.until_owned()
    await until_effects(fleet, old)
    for (_, to), way in fleet.relays.ways.items():
        if to == old:
            way.hold()
    new = await fleet.until_owned(but=old)
    await until_effects(fleet, new)
    assert await gone(fleet, old)
    fleet.heal()
    await asyncio.sleep(1.0)
    nothing_broken(fleet)


@case(count=4)
async def a_majority_on_neither_side(fleet):
    await fleet.until_owned()
    fleet.cut({"n0", "n1"})

    async def nobody():
        return await fleet.owner() is None

    await fleet.until(nobody)
    await asyncio.sleep(2.5)
    assert await nobody()
    fleet.heal()
    await fleet.until_owned()
    nothing_broken(fleet)


@case()
async def three_cuts_in_a_row_before_one_election_ends(fleet):
    old = await fleet.until_owned()
    await fleet.kill(old)
    for _ in range(3):
        fleet.cut({next(name for name in fleet.names if name != old)})
        await asyncio.sleep(0.5)
        fleet.heal(broken=True)
        await asyncio.sleep(0.15)
    await fleet.until_owned(but=old)
    nothing_broken(fleet)


@case()
async def a_server_that_flaps_every_second_upsets_nobody(fleet):
    owner = await fleet.until_owned()
    term = (await fleet.status(owner))["term"]
    other = next(name for name in fleet.names if name != owner)
    for _ in range(3):
        fleet.stop(other)
        await asyncio.sleep(0.5)
        fleet.go_on(other)
        await asyncio.sleep(0.5)
    assert await fleet.owner() == owner and (await fleet.status(owner))["term"] == term
    nothing_broken(fleet)


@case(duties=DUTIES)
async def all_stopped_and_continued_at_once(fleet):
    await fleet.until_owned()
    for name in fleet.names:
        fleet.stop(name)
    await asyncio.sleep(2.0)
    for name in fleet.names:
        fleet.go_on(name)
    await fleet.until_owned()
    await asyncio.sleep(0.5)
    nothing_broken(fleet)


@case()
async def a_clock_a_fifth_fast_one_that_stands_still_and_a_wall_clock_set_back(fleet):
    """Past the drift that the lease allows for, effects are still kept apart by their fences."""
    old = await fleet.until_owned()
    await until_effects(fleet, old)
    others = [name for name in fleet.names if name != old]
    fleet.clock(others[0], 1.2)
    fleet.clock(old, 0.0)  # it believes in its lease for ever: its guard's clock does not
    fleet.stop(old, whole=False)
    new = await fleet.until_owned(but=old)
    await until_effects(fleet, new)
    fleet.go_on(old)
    await asyncio.sleep(0.5)
    assert fleet.world.harm() == 0 and await gone(fleet, old)
    fleet.clock(old, 1.0)
    fleet.clock(others[0], 1.0)
    server = fleet.servers[others[1]]
    await fleet.kill(others[1])
    server.wall = -3600.0
    fleet.write_seams(server)
    await fleet.up(others[1])

    async def back():
        status = await fleet.status(others[1])
        return (
            status
            and status["role"] in ("follower", "leader")
            and len([m for m in status["members"] if m["state"] == "alive"]) == 3
        )

    await fleet.until(back)
    assert not fleet.world.two_under_one_fence()


@case()
async def a_restart_without_its_folder_right_after_it_voted(fleet):
    old = await fleet.until_owned()
    await fleet.kill(old)
    new = await fleet.until_owned(but=old)
    voted = next(name for name in fleet.names if name not in (old, new))
    await fleet.kill(voted, wipe=True)
    await fleet.up(voted)  # with one that is down and one that forgot there is nobody to lead
    await asyncio.sleep(2.5)
    status = await fleet.status(voted)
    assert status["role"] == "waits for the others named to vote" and await fleet.owner() is None
    await fleet.up(old)

    async def readmitted():
        status = await fleet.status(voted)
        return status["role"] in ("follower", "leader")

    await fleet.until_owned()
    await fleet.until(readmitted)
    nothing_broken(fleet)


@case()
async def a_folder_copied_to_a_second_server_is_refused(fleet):
    await fleet.until_owned()
    await fleet.kill("n2", wipe=True)
    vote, copy = fleet.servers["n0"].path("vote"), fleet.servers["n2"].path("vote")
    copy.mkdir()
    (copy / "vote").write_bytes((vote / "vote").read_bytes())
    await fleet.up("n2")
    assert await asyncio.wait_for(fleet.servers["n2"].process.wait(), 10) == 2
    assert "belongs to n0" in fleet.servers["n2"].path("log").read_text()


@case(load=10.0)
async def a_vote_s_disk_that_is_full(fleet):
    """It votes for nobody and still serves."""
    owner = await fleet.until_owned()
    full = next(name for name in fleet.names if name != owner)
    fleet.servers[full].path("full").write_text("")
    await fleet.kill(owner)

    async def told():
        return (await fleet.status(full))["role"] == "its disk does not keep its vote"

    await fleet.until(told)
    await asyncio.sleep(1.5)
    assert await fleet.owner() is None
    before = len(fleet.servers[full].tries)
    await asyncio.sleep(1.0)
    assert len(fleet.servers[full].tries) > before
    fleet.servers[full].path("full").unlink()
    await fleet.until_owned()
    nothing_broken(fleet)


@case(count=5, voters=["n0", "n1", "n2"])
async def voters_three_to_five_while_the_leader_dies(fleet):
    owner = await fleet.until_owned()

    async def admitted(name):
        async def there():
            at = await fleet.owner()
            if at is None:
                return False
            if name in (await fleet.status(at))["voters"]:
                return True
            await fleet.ask(at, {"do": "fleet", "what": "admit", "server": name})
            return False

        await fleet.until(there)

    await admitted("n3")
    await fleet.ask(owner, {"do": "fleet", "what": "admit", "server": "n4"})
    await fleet.kill(owner)
    await fleet.until_owned(but=owner)
    await admitted("n4")
    second = await fleet.owner()
    await fleet.kill(second)  # three of five are left
    new = await fleet.until_owned(but=second)
    assert len((await fleet.status(new))["voters"]) == 5
    nothing_broken(fleet)


@case()
async def old_messages_delivered_late(fleet):
    """What was held while others went on comes all at once; nobody is moved by it."""
    old = await fleet.until_owned()
    fleet.cut({old})
    new = await fleet.until_owned(but=old)
    await until_effects(fleet, new)
    await asyncio.sleep(3.0)
    term = (await fleet.status(new))["term"]
    fleet.heal()
    await asyncio.sleep(1.0)
    assert await fleet.owner() == new and (await fleet.status(new))["term"] == term
    nothing_broken(fleet)


@case(duties=EFFECT.replace("{effect}", "{effect} heedless"))
async def a_command_that_does_not_heed_term(fleet):
    await ended_with_its_lease(fleet)


@case(duties=EFFECT.replace("{effect}", "{effect} forking"))
async def a_command_that_forks_away(fleet):
    await ended_with_its_lease(fleet)


async def ended_with_its_lease(fleet):
    old = await fleet.until_owned()
    await until_effects(fleet, old)
    fleet.stop(old, whole=False)  # the server alone: its guard sees to the lease
    await asyncio.sleep(fleet.lease)
    assert await gone(fleet, old)
    new = await fleet.until_owned(but=old)
    await until_effects(fleet, new)
    fleet.go_on(old)
    await asyncio.sleep(0.5)
    assert nothing_broken(fleet)["stale_effects_refused"] == 0


@case(duties=EFFECT + EFFECT.replace("[duty effect]", "[duty other]"))
async def a_reload_that_removes_a_duty_while_it_is_owned(fleet):
    owner = await fleet.until_owned()

    async def both():
        return {one.duty for one in fleet.world.effects} == {"effect", "other"}

    await fleet.until(both)
    for server in fleet.servers.values():
        server.path("settings.ini").write_text(fleet.settings(server, EFFECT))
        server.process.send_signal(signal.SIGHUP)

    async def dropped():
        return [row["duty"] for row in (await fleet.status(owner))["owners"]] == ["effect"]

    await fleet.until(dropped)
    before = [one.duty for one in fleet.world.effects].count("other")
    await asyncio.sleep(0.4)
    assert [one.duty for one in fleet.world.effects].count("other") == before
    assert await fleet.owner() == owner and not await gone(fleet, owner)
    nothing_broken(fleet)


@case(load=10.0, duties=DUTIES)
async def a_drain_of_the_owner_hands_over(fleet):
    owner = await fleet.until_owned()
    await until_effects(fleet, owner)
    await asyncio.sleep(1.0)
    assert await fleet.down(owner) == 0
    await fleet.until_owned(but=owner, patience=1.0)
    status = await fleet.status(next(name for name in fleet.names if name != owner))
    assert [m["state"] for m in status["members"] if m["name"] == owner] == ["left"]
    assert nothing_broken(fleet)["submissions"] > 20


@case(count=3, folders=False)
async def a_majority_lost_for_good_is_revived_above_all_numbers(fleet):
    owner = await fleet.until_owned()
    await until_effects(fleet, owner)
    left = next(name for name in fleet.names if name != owner)
    before = fleet.world.seen["effect"]
    for name in fleet.names:
        if name != left:
            await fleet.kill(name)
            await fleet.up(name)  # they come back and remember nothing
    await asyncio.sleep(2.5)
    assert await fleet.owner() is None
    got = await fleet.ask(left, {"do": "fleet", "what": "revive"})
    assert got["good"], got
    assert await fleet.until_owned() == left
    await until_effects(fleet, left)
    assert fleet.world.seen["effect"] > 1 << 28 and fleet.world.seen["effect"] > before

    async def all_vote():
        return len((await fleet.status(left))["voters"]) == 3

    await fleet.until(all_vote)
    nothing_broken(fleet)


@pytest.fixture(scope="module")
def outcomes(tmp_path_factory):
    return case.play(tmp_path_factory)


@pytest.mark.parametrize("name", case.cases)
def test_hard_case(outcomes, name):
    assert outcomes[name] is None, outcomes[name][1]


def test_a_short_storm_breaks_nothing(tmp_path):
    storm, found, owner = asyncio.run(play(tmp_path / "fleet", 3, 12, 5, pace=0.8))
    assert storm.faults == 12 and owner is not None and found["effects"] > 50 and found["submissions"] > 20
    assert not any(found[key] for key in MUST_NOT), json.dumps(found)

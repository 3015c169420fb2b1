"""Leader election and fencing under faults that are injected into clusters of real processes.

The cases run side by side, a few at a time, as most of their time is waiting; each test reports one of them.
"""

import asyncio
import json
import signal

import pytest
from fabric_cases import EFFECT, Cases, nothing_broken

from valeturn.lab.fault_injection.fault_runner import SINGLETON_TASKS, VIOLATION_KEYS, run_schedule

case = Cases()


def effects_of(fleet, server):
    return [one for one in fleet.effect_service.effects if one.server == server]


async def wait_for_effects(fleet, server, more=3):
    """Wait until the server's command has sent some more effects."""
    before = len(effects_of(fleet, server))

    async def enough():
        return len(effects_of(fleet, server)) >= before + more

    await fleet.wait_until(enough, 15)


async def has_no_more_effects(fleet, server, quiet=0.4):
    """Return whether the server's command sends nothing for `quiet` seconds."""
    before = len(effects_of(fleet, server))
    await asyncio.sleep(quiet)
    return len(effects_of(fleet, server)) == before


@case()
async def server_stopped_between_lease_check_and_effect(fleet):
    old = await fleet.wait_for_leader()
    await wait_for_effects(fleet, old)
    fleet.stop(old)
    new = await fleet.wait_for_leader(other_than=old)
    await wait_for_effects(fleet, new)
    fleet.resume(old, pause=0.1)  # the command first: it sends the effect that it was about to send
    await asyncio.sleep(0.3)
    assert nothing_broken(fleet)["stale_effects_refused"] > 0
    assert await has_no_more_effects(fleet, old) and not await has_no_more_effects(fleet, new)


@case(check_tokens=False)
async def without_token_checks_a_stale_effect_is_executed(fleet):
    old = await fleet.wait_for_leader()
    await wait_for_effects(fleet, old)
    fleet.stop(old)
    new = await fleet.wait_for_leader(other_than=old)
    await wait_for_effects(fleet, new)
    fleet.resume(old, pause=0.1)
    await asyncio.sleep(0.3)
    assert fleet.check_history()["stale_effects_done"] > 0, "the history checker finds no violation"


@case()
async def effect_of_a_killed_leader_still_in_the_socket_buffer(fleet):
    old = await fleet.wait_for_leader()
    await wait_for_effects(fleet, old)
    fleet.effect_service.blocked_servers[old] = asyncio.Event()
    await asyncio.sleep(0.2)
    await fleet.kill(old)
    new = await fleet.wait_for_leader(other_than=old)
    await wait_for_effects(fleet, new)
    fleet.effect_service.blocked_servers[old].set()
    await asyncio.sleep(0.3)
    assert nothing_broken(fleet)["stale_effects_refused"] > 0


@case()
async def one_way_partition_in_which_the_leader_receives_nothing(fleet):
    old = await fleet.wait_for_leader()
    await wait_for_effects(fleet, old)
    for (_, to), direction in fleet.relays.directions.items():
        if to == old:
            direction.pause()
    new = await fleet.wait_for_leader(other_than=old)
    await wait_for_effects(fleet, new)
    assert await has_no_more_effects(fleet, old)
    fleet.heal()
    await asyncio.sleep(1.0)
    nothing_broken(fleet)


@case(count=4)
async def partition_without_a_majority_on_either_side(fleet):
    await fleet.wait_for_leader()
    fleet.partition({"n0", "n1"})

    async def no_leader():
        return await fleet.leader() is None

    await fleet.wait_until(no_leader)
    await asyncio.sleep(2.5)
    assert await no_leader()
    fleet.heal()
    await fleet.wait_for_leader()
    nothing_broken(fleet)


@case()
async def three_partitions_before_an_election_ends(fleet):
    old = await fleet.wait_for_leader()
    await fleet.kill(old)
    for _ in range(3):
        fleet.partition({next(name for name in fleet.names if name != old)})
        await asyncio.sleep(0.5)
        fleet.heal(reset_links=True)
        await asyncio.sleep(0.15)
    await fleet.wait_for_leader(other_than=old)
    nothing_broken(fleet)


@case()
async def flapping_follower_does_not_change_the_leader(fleet):
    leader = await fleet.wait_for_leader()
    term = (await fleet.status(leader))["term"]
    other = next(name for name in fleet.names if name != leader)
    for _ in range(3):
        fleet.stop(other)
        await asyncio.sleep(0.5)
        fleet.resume(other)
        await asyncio.sleep(0.5)
    assert await fleet.leader() == leader and (await fleet.status(leader))["term"] == term
    nothing_broken(fleet)


@case(singleton_tasks=SINGLETON_TASKS)
async def all_servers_stopped_and_resumed_at_once(fleet):
    await fleet.wait_for_leader()
    for name in fleet.names:
        fleet.stop(name)
    await asyncio.sleep(2.0)
    for name in fleet.names:
        fleet.resume(name)
    await fleet.wait_for_leader()
    await asyncio.sleep(0.5)
    nothing_broken(fleet)


@case()
async def fast_clock_standing_clock_and_wall_clock_set_back(fleet):
    """Beyond the drift that the lease allows for, fencing tokens still keep effects in order."""
    old = await fleet.wait_for_leader()
    await wait_for_effects(fleet, old)
    others = [name for name in fleet.names if name != old]
    fleet.set_clock_rate(others[0], 1.2)
    fleet.set_clock_rate(old, 0.0)  # its lease never ends by its own clock, but it does by its guard's
    fleet.stop(old, with_commands=False)
    new = await fleet.wait_for_leader(other_than=old)
    await wait_for_effects(fleet, new)
    fleet.resume(old)
    await asyncio.sleep(0.5)
    assert fleet.effect_service.stale_executed() == 0 and await has_no_more_effects(fleet, old)
    fleet.set_clock_rate(old, 1.0)
    fleet.set_clock_rate(others[0], 1.0)
    server = fleet.servers[others[1]]
    await fleet.kill(others[1])
    server.wall_clock_offset = -3600.0
    fleet.write_overrides(server)
    await fleet.start_server(others[1])

    async def has_rejoined():
        status = await fleet.status(others[1])
        return (
            status
            and status["role"] in ("follower", "leader")
            and len([m for m in status["members"] if m["state"] == "alive"]) == 3
        )

    await fleet.wait_until(has_rejoined)
    assert not fleet.effect_service.tokens_shared_by_servers()


@case()
async def restart_without_vote_directory_right_after_a_vote(fleet):
    old = await fleet.wait_for_leader()
    await fleet.kill(old)
    new = await fleet.wait_for_leader(other_than=old)
    voter = next(name for name in fleet.names if name not in (old, new))
    await fleet.kill(voter, wipe=True)
    await fleet.start_server(voter)  # one is down and one has lost its vote: none can be elected
    await asyncio.sleep(2.5)
    status = await fleet.status(voter)
    assert status["role"] == "waits for the others named to vote" and await fleet.leader() is None
    await fleet.start_server(old)

    async def readmitted():
        status = await fleet.status(voter)
        return status["role"] in ("follower", "leader")

    await fleet.wait_for_leader()
    await fleet.wait_until(readmitted)
    nothing_broken(fleet)


@case()
async def vote_directory_copied_to_a_second_server_is_refused(fleet):
    await fleet.wait_for_leader()
    await fleet.kill("n2", wipe=True)
    vote, copy = fleet.servers["n0"].path("vote"), fleet.servers["n2"].path("vote")
    copy.mkdir()
    (copy / "vote").write_bytes((vote / "vote").read_bytes())
    await fleet.start_server("n2")
    assert await asyncio.wait_for(fleet.servers["n2"].process.wait(), 10) == 2
    assert "belongs to n0" in fleet.servers["n2"].path("log").read_text()


@case(load=10.0)
async def full_disk_under_the_vote_directory(fleet):
    """The server can't vote but goes on serving."""
    leader = await fleet.wait_for_leader()
    server_with_full_disk = next(name for name in fleet.names if name != leader)
    fleet.servers[server_with_full_disk].path("full").write_text("")
    await fleet.kill(leader)

    async def reports_full_disk():
        return (await fleet.status(server_with_full_disk))["role"] == "its disk does not keep its vote"

    await fleet.wait_until(reports_full_disk)
    await asyncio.sleep(1.5)
    assert await fleet.leader() is None
    before = len(fleet.servers[server_with_full_disk].tries)
    await asyncio.sleep(1.0)
    assert len(fleet.servers[server_with_full_disk].tries) > before
    fleet.servers[server_with_full_disk].path("full").unlink()
    await fleet.wait_for_leader()
    nothing_broken(fleet)


@case(count=5, voters=["n0", "n1", "n2"])
async def three_to_five_voters_while_the_leader_is_killed(fleet):
    leader = await fleet.wait_for_leader()

    async def admitted(name):
        async def is_voter():
            at = await fleet.leader()
            if at is None:
                return False
            if name in (await fleet.status(at))["voters"]:
                return True
            await fleet.request_control(at, {"do": "fleet", "what": "admit", "server": name})
            return False

        await fleet.wait_until(is_voter)

    await admitted("n3")
    await fleet.request_control(leader, {"do": "fleet", "what": "admit", "server": "n4"})
    await fleet.kill(leader)
    await fleet.wait_for_leader(other_than=leader)
    await admitted("n4")
    second = await fleet.leader()
    await fleet.kill(second)  # three of five voters are left
    new = await fleet.wait_for_leader(other_than=second)
    assert len((await fleet.status(new))["voters"]) == 5
    nothing_broken(fleet)


@case()
async def messages_delivered_after_an_election(fleet):
    """Messages of an old leader that arrive all at once after an election change nothing."""
    old = await fleet.wait_for_leader()
    fleet.partition({old})
    new = await fleet.wait_for_leader(other_than=old)
    await wait_for_effects(fleet, new)
    await asyncio.sleep(3.0)
    term = (await fleet.status(new))["term"]
    fleet.heal()
    await asyncio.sleep(1.0)
    assert await fleet.leader() == new and (await fleet.status(new))["term"] == term
    nothing_broken(fleet)


@case(singleton_tasks=EFFECT.replace("{effect}", "{effect} heedless"))
async def command_that_ignores_sigterm(fleet):
    await command_ends_with_the_lease(fleet)


@case(singleton_tasks=EFFECT.replace("{effect}", "{effect} forking"))
async def command_that_forks_into_another_session(fleet):
    await command_ends_with_the_lease(fleet)


async def command_ends_with_the_lease(fleet):
    old = await fleet.wait_for_leader()
    await wait_for_effects(fleet, old)
    # The server alone: the guard ends the command when the lease expires.
    fleet.stop(old, with_commands=False)
    await asyncio.sleep(fleet.lease)
    assert await has_no_more_effects(fleet, old)
    new = await fleet.wait_for_leader(other_than=old)
    await wait_for_effects(fleet, new)
    fleet.resume(old)
    await asyncio.sleep(0.5)
    assert nothing_broken(fleet)["stale_effects_refused"] == 0


@case(singleton_tasks=EFFECT + EFFECT.replace("[duty effect]", "[duty other]"))
async def reload_that_removes_a_running_singleton_task(fleet):
    leader = await fleet.wait_for_leader()

    async def both():
        return {one.task for one in fleet.effect_service.effects} == {"effect", "other"}

    await fleet.wait_until(both)
    for server in fleet.servers.values():
        server.path("settings.ini").write_text(fleet.settings(server, EFFECT))
        server.process.send_signal(signal.SIGHUP)

    async def only_effect_is_left():
        return [row["duty"] for row in (await fleet.status(leader))["owners"]] == ["effect"]

    await fleet.wait_until(only_effect_is_left)
    before = [one.task for one in fleet.effect_service.effects].count("other")
    await asyncio.sleep(0.4)
    assert [one.task for one in fleet.effect_service.effects].count("other") == before
    assert await fleet.leader() == leader and not await has_no_more_effects(fleet, leader)
    nothing_broken(fleet)


@case(load=10.0, singleton_tasks=SINGLETON_TASKS)
async def draining_leader_transfers_leadership(fleet):
    leader = await fleet.wait_for_leader()
    await wait_for_effects(fleet, leader)
    await asyncio.sleep(1.0)
    assert await fleet.terminate(leader) == 0
    await fleet.wait_for_leader(other_than=leader, timeout=1.0)
    status = await fleet.status(next(name for name in fleet.names if name != leader))
    assert [m["state"] for m in status["members"] if m["name"] == leader] == ["left"]
    assert nothing_broken(fleet)["submissions"] > 20


@case(count=3, vote_directories=False)
async def revived_cluster_has_higher_fencing_tokens_than_before(fleet):
    leader = await fleet.wait_for_leader()
    await wait_for_effects(fleet, leader)
    survivor = next(name for name in fleet.names if name != leader)
    before = fleet.effect_service.highest_tokens["effect"]
    for name in fleet.names:
        if name != survivor:
            await fleet.kill(name)
            await fleet.start_server(name)  # they come back without their votes
    await asyncio.sleep(2.5)
    assert await fleet.leader() is None
    response = await fleet.request_control(survivor, {"do": "fleet", "what": "revive"})
    assert response["good"], response
    assert await fleet.wait_for_leader() == survivor
    await wait_for_effects(fleet, survivor)
    assert (
        fleet.effect_service.highest_tokens["effect"] > 1 << 28
        and fleet.effect_service.highest_tokens["effect"] > before
    )

    async def all_vote():
        return len((await fleet.status(survivor))["voters"]) == 3

    await fleet.wait_until(all_vote)
    nothing_broken(fleet)


@pytest.fixture(scope="module")
def outcomes(tmp_path_factory):
    return case.play(tmp_path_factory)


@pytest.mark.parametrize("name", case.cases)
def test_cluster_under_fault(outcomes, name):
    assert outcomes[name] is None, outcomes[name][1]


def test_short_fault_schedule_violates_no_invariant(tmp_path):
    runner, found, leader = asyncio.run(run_schedule(tmp_path / "fleet", 3, 12, 5, pace=0.8))
    assert (
        runner.fault_count == 12
        and leader is not None
        and found["effects"] > 50
        and found["submissions"] > 20
    )
    assert not any(found[key] for key in VIOLATION_KEYS), json.dumps(found)

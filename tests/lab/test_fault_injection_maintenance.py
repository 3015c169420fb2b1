"""Machines that go out for work, with several processes of the program and the faults between them."""

import asyncio
import signal

import pytest
from fabric_cases import Cases, nothing_broken

from valeturn.lab.fault_injection.fleet import LEASE
from valeturn.lab.fault_injection.turns import Supervisor, events, most_at_once, out, outs, rows, settings

case = Cases()
TURNS = settings()


async def until_state(fleet, name, *states, patience=30.0):
    async def there():
        found = await rows(fleet)
        return found is not None and name in found and found[name]["state"] in states

    await fleet.until(there, patience)


async def until_none_left(fleet, patience=60.0):
    async def none():
        return await rows(fleet) == {}

    await fleet.until(none, patience)


def went(fleet):
    """Names in the order in which they went out; no two of them at once, each under a number of its own."""
    found = outs(fleet)
    nothing_broken(fleet)
    assert most_at_once(found) <= 1, found
    assert len({fence for *_, fence in found}) == len(found), found
    return [name for name, *_ in found]


@case(duties=TURNS, load=8.0)
async def a_release_of_three_one_after_another_the_owner_among_them(fleet):
    owner = await fleet.until_owned()
    supervisor = Supervisor(fleet)
    assert (await out(fleet, [], fleet.names[1]))["good"]
    await until_none_left(fleet)
    supervisor.task.cancel()
    assert sorted(went(fleet)) == fleet.names and owner in went(fleet)
    assert nothing_broken(fleet)["submissions"] > 50


@case(duties=TURNS)
async def the_owner_dies_after_the_grant(fleet):
    owner = await fleet.until_owned()
    supervisor = Supervisor(fleet)
    other = next(name for name in fleet.names if name != owner)
    await out(fleet, [other], owner)
    await fleet.kill(owner)
    await asyncio.sleep(0.3)
    await fleet.up(owner)
    await until_none_left(fleet)
    supervisor.task.cancel()
    assert went(fleet) == [other]


@case(duties=TURNS)
async def two_operators_ask_for_overlapping_sets_at_two_servers_at_once(fleet):
    await fleet.until_owned()
    supervisor = Supervisor(fleet)
    got = await asyncio.gather(out(fleet, ["n0", "n1"], "n1"), out(fleet, ["n1", "n2"], "n2", "kernel"))
    assert all(one["good"] for one in got)
    await until_none_left(fleet)
    supervisor.task.cancel()
    assert sorted(went(fleet)) == fleet.names, "asking twice is asking once"


@case(duties=TURNS)
async def one_that_is_cut_off_with_its_grant_drains_for_no_late_word(fleet):
    owner = await fleet.until_owned()
    other = next(name for name in fleet.names if name != owner)
    fleet.relays.ways[owner, other].hold()  # it asks and is not answered: the words wait on the way
    assert (await out(fleet, [other], owner))["good"]
    await until_state(fleet, other, "granted")
    await asyncio.sleep(3 * LEASE)
    fleet.relays.ways[owner, other].go_on()
    await asyncio.sleep(0.2)
    status = await fleet.ask(other, {"do": "status"})
    assert status["status"]["turns"]["refused"] > 0 and events(fleet.servers[other])
    supervisor = Supervisor(fleet)
    await until_none_left(fleet)
    supervisor.task.cancel()
    assert went(fleet) == [other]


@case(duties=TURNS)
async def one_stopped_in_its_drain_keeps_its_place_until_it_is_back(fleet):
    owner = await fleet.until_owned()
    first, second = [name for name in fleet.names if name != owner]
    supervisor = Supervisor(fleet)
    await out(fleet, [first], owner)

    async def drains():
        return any(event == "drain_started" for _, event, _ in events(fleet.servers[first]))

    await fleet.until(drains)
    fleet.stop(first)
    await out(fleet, [second], owner)
    await asyncio.sleep(4 * LEASE)
    found = await rows(fleet, owner)
    assert found[second]["state"] == "waits", "its place is not given away"
    fleet.go_on(first)
    await until_none_left(fleet)
    supervisor.task.cancel()
    # Its first life ended past its stop, not drained, nor told that its maintenance may begin: it goes again.
    assert went(fleet) == [first, first, second]
    assert [event for _, event, _ in events(fleet.servers[first])].count("drain_ended") == 1


@case(duties=settings(more="empty = sleep 30\n"))
async def a_request_taken_back_while_it_drains_comes_back_without_its_work(fleet):
    owner = await fleet.until_owned()
    other = next(name for name in fleet.names if name != owner)
    await out(fleet, [other], owner)

    async def drains():
        return any(event == "drain_started" for _, event, _ in events(fleet.servers[other]))

    await fleet.until(drains)
    await fleet.ask(owner, {"do": "turns", "what": "back", "servers": [other]}, 8.0)
    before = fleet.servers[other].process.pid
    await until_none_left(fleet)
    seen = [event for _, event, _ in events(fleet.servers[other])]
    assert seen.count("server_listening") == 2 and "maintenance_hook_ended" not in seen
    assert fleet.servers[other].process.pid == before and fleet.servers[other].process.returncode is None


@case(duties=settings(more="empty = echo patched\nreturned = echo back\n"))
async def hooks_run_on_the_machine_once_it_is_empty_and_once_it_is_back(fleet):
    owner = await fleet.until_owned()
    other = next(name for name in fleet.names if name != owner)
    supervisor = Supervisor(fleet)
    await out(fleet, [other], owner)
    await until_none_left(fleet)
    supervisor.task.cancel()
    tails = [rest for _, event, rest in events(fleet.servers[other]) if event == "maintenance_hook_ended"]
    assert len(tails) == 2 and "patched" in tails[0] and "back" in tails[1] and "exit_code=0" in tails[0], (
        tails
    )


@case(duties=TURNS)
async def held_by_an_operator_and_a_notice_of_the_platform_for_one_that_waits(fleet):
    owner = await fleet.until_owned()
    others = [name for name in fleet.names if name != owner]
    assert (await fleet.ask(others[0], {"do": "turns", "what": "hold"}, 8.0))["good"]
    await out(fleet, others, owner)
    await asyncio.sleep(2 * LEASE)
    assert {row["state"] for row in (await rows(fleet, owner)).values()} == {"waits"}
    assert await fleet.down(others[0]) == 0  # goes first, whatever its turn
    await fleet.up(others[0])
    supervisor = Supervisor(fleet)
    assert (await fleet.ask(others[1], {"do": "turns", "what": "go-on"}, 8.0))["good"]
    await until_none_left(fleet)
    supervisor.task.cancel()
    assert sorted(went(fleet)) == sorted(others)


@case(duties=TURNS)
async def a_machine_that_never_returns_keeps_its_place_and_is_told_of(fleet):
    owner = await fleet.until_owned()
    first, second = [name for name in fleet.names if name != owner]
    await out(fleet, [first, second], owner, work=2.0)
    await until_state(fleet, first, "in work")

    async def late():
        found = await rows(fleet, owner)
        return found and found[first]["late"] and found[second]["state"] == "waits"

    await fleet.until(late)
    supervisor = Supervisor(fleet)  # now it does
    await until_none_left(fleet)
    supervisor.task.cancel()
    assert went(fleet) == [first, second]


@case(duties=settings(most=2), count=4)
async def a_reload_that_lowers_the_allowed_number_under_those_already_out(fleet):
    owner = await fleet.until_owned()
    others = [name for name in fleet.names if name != owner]
    await out(fleet, others, owner)
    for name in others[:2]:
        await until_state(fleet, name, "in work")
    for server in fleet.servers.values():
        server.path("settings.ini").write_text(fleet.settings(server, settings(most=1)))
        if server.process.returncode is None:
            server.process.send_signal(signal.SIGHUP)
    await asyncio.sleep(1.0)
    supervisor = Supervisor(fleet)
    await until_none_left(fleet)
    supervisor.task.cancel()
    found = outs(fleet)
    third = [one for one in found if one[0] == others[2]]
    assert len(third) == 1 and all(to <= third[0][1] for name, _, to, _ in found if name != others[2]), found


@pytest.fixture(scope="module")
def outcomes(tmp_path_factory):
    return case.play(tmp_path_factory)


@pytest.mark.parametrize("name", case.cases)
def test_hard_case(outcomes, name):
    assert outcomes[name] is None, outcomes[name][1]

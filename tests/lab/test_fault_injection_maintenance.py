"""Maintenance of the servers of a cluster under faults that are injected between real processes."""

import asyncio
import signal

import pytest
from fabric_cases import Cases, nothing_broken

from valeturn.lab.fault_injection.fleet import LEASE_S
from valeturn.lab.fault_injection.maintenance import (
    Supervisor,
    events,
    maintenance_periods,
    maintenance_rows,
    maintenance_settings,
    most_at_once,
    request_maintenance,
)

case = Cases()
MAINTENANCE = maintenance_settings()


async def wait_for_state(fleet, name, *states, timeout=30.0):
    async def has_state():
        found = await maintenance_rows(fleet)
        return found is not None and name in found and found[name]["state"] in states

    await fleet.wait_until(has_state, timeout)


async def wait_until_none_left(fleet, timeout=60.0):
    async def none_left():
        return await maintenance_rows(fleet) == {}

    await fleet.wait_until(none_left, timeout)


def maintained_in_order(fleet):
    """Return names in the order of their maintenance; check that no two overlap or share a fencing token."""
    found = maintenance_periods(fleet)
    nothing_broken(fleet)
    assert most_at_once(found) <= 1, found
    assert len({fencing_token for *_, fencing_token in found}) == len(found), found
    return [name for name, *_ in found]


@case(singleton_tasks=MAINTENANCE, load=8.0)
async def all_three_servers_one_after_another_with_the_leader(fleet):
    leader = await fleet.wait_for_leader()
    supervisor = Supervisor(fleet)
    assert (await request_maintenance(fleet, [], fleet.names[1]))["good"]
    await wait_until_none_left(fleet)
    supervisor.task.cancel()
    assert sorted(maintained_in_order(fleet)) == fleet.names and leader in maintained_in_order(fleet)
    assert nothing_broken(fleet)["submissions"] > 50


@case(singleton_tasks=MAINTENANCE)
async def leader_killed_after_the_grant(fleet):
    leader = await fleet.wait_for_leader()
    supervisor = Supervisor(fleet)
    other = next(name for name in fleet.names if name != leader)
    await request_maintenance(fleet, [other], leader)
    await fleet.kill(leader)
    await asyncio.sleep(0.3)
    await fleet.start_server(leader)
    await wait_until_none_left(fleet)
    supervisor.task.cancel()
    assert maintained_in_order(fleet) == [other]


@case(singleton_tasks=MAINTENANCE)
async def overlapping_requests_at_two_servers_at_once(fleet):
    await fleet.wait_for_leader()
    supervisor = Supervisor(fleet)
    responses = await asyncio.gather(
        request_maintenance(fleet, ["n0", "n1"], "n1"),
        request_maintenance(fleet, ["n1", "n2"], "n2", "kernel"),
    )
    assert all(one["good"] for one in responses)
    await wait_until_none_left(fleet)
    supervisor.task.cancel()
    assert sorted(maintained_in_order(fleet)) == fleet.names, "a repeated request counts once"


@case(singleton_tasks=MAINTENANCE)
async def grant_that_arrives_too_late_starts_no_drain(fleet):
    leader = await fleet.wait_for_leader()
    other = next(name for name in fleet.names if name != leader)
    fleet.relays.directions[leader, other].pause()  # its requests arrive; the responses are kept back
    assert (await request_maintenance(fleet, [other], leader))["good"]
    await wait_for_state(fleet, other, "granted")
    await asyncio.sleep(3 * LEASE_S)
    fleet.relays.directions[leader, other].resume()
    await asyncio.sleep(0.2)
    status = await fleet.request_control(other, {"do": "status"})
    assert status["status"]["turns"]["refused"] > 0 and events(fleet.servers[other])
    supervisor = Supervisor(fleet)
    await wait_until_none_left(fleet)
    supervisor.task.cancel()
    assert maintained_in_order(fleet) == [other]


@case(singleton_tasks=MAINTENANCE)
async def server_stopped_in_its_drain_keeps_its_place(fleet):
    leader = await fleet.wait_for_leader()
    first, second = [name for name in fleet.names if name != leader]
    supervisor = Supervisor(fleet)
    await request_maintenance(fleet, [first], leader)

    async def is_draining():
        return any(event == "drain_started" for _, event, _ in events(fleet.servers[first]))

    await fleet.wait_until(is_draining)
    fleet.stop(first)
    await request_maintenance(fleet, [second], leader)
    await asyncio.sleep(4 * LEASE_S)
    found = await maintenance_rows(fleet, leader)
    assert found[second]["state"] == "waits", "another server has taken its place"
    fleet.resume(first)
    await wait_until_none_left(fleet)
    supervisor.task.cancel()
    # Its first process ended after the stop, without a full drain and a permission to begin: it goes again.
    assert maintained_in_order(fleet) == [first, first, second]
    assert [event for _, event, _ in events(fleet.servers[first])].count("drain_ended") == 1


@case(singleton_tasks=maintenance_settings(more="empty = sleep 30\n"))
async def request_withdrawn_during_the_drain_runs_no_hook(fleet):
    leader = await fleet.wait_for_leader()
    other = next(name for name in fleet.names if name != leader)
    await request_maintenance(fleet, [other], leader)

    async def is_draining():
        return any(event == "drain_started" for _, event, _ in events(fleet.servers[other]))

    await fleet.wait_until(is_draining)
    await fleet.request_control(leader, {"do": "turns", "what": "back", "servers": [other]}, 8.0)
    before = fleet.servers[other].process.pid
    await wait_until_none_left(fleet)
    seen = [event for _, event, _ in events(fleet.servers[other])]
    assert seen.count("server_listening") == 2 and "maintenance_hook_ended" not in seen
    assert fleet.servers[other].process.pid == before and fleet.servers[other].process.returncode is None


@case(singleton_tasks=maintenance_settings(more="empty = echo patched\nreturned = echo back\n"))
async def hooks_run_after_the_drain_and_after_the_return(fleet):
    leader = await fleet.wait_for_leader()
    other = next(name for name in fleet.names if name != leader)
    supervisor = Supervisor(fleet)
    await request_maintenance(fleet, [other], leader)
    await wait_until_none_left(fleet)
    supervisor.task.cancel()
    hook_events = [
        rest for _, event, rest in events(fleet.servers[other]) if event == "maintenance_hook_ended"
    ]
    assert (
        len(hook_events) == 2
        and "patched" in hook_events[0]
        and "back" in hook_events[1]
        and "exit_code=0" in hook_events[0]
    ), hook_events


@case(singleton_tasks=MAINTENANCE)
async def terminated_server_goes_first_while_an_operator_holds_requests(fleet):
    leader = await fleet.wait_for_leader()
    others = [name for name in fleet.names if name != leader]
    assert (await fleet.request_control(others[0], {"do": "turns", "what": "hold"}, 8.0))["good"]
    await request_maintenance(fleet, others, leader)
    await asyncio.sleep(2 * LEASE_S)
    assert {row["state"] for row in (await maintenance_rows(fleet, leader)).values()} == {"waits"}
    assert await fleet.terminate(others[0]) == 0  # a termination notice does not wait for a grant
    await fleet.start_server(others[0])
    supervisor = Supervisor(fleet)
    assert (await fleet.request_control(others[1], {"do": "turns", "what": "go-on"}, 8.0))["good"]
    await wait_until_none_left(fleet)
    supervisor.task.cancel()
    assert sorted(maintained_in_order(fleet)) == sorted(others)


@case(singleton_tasks=MAINTENANCE)
async def server_that_does_not_return_keeps_its_place_and_is_reported_late(fleet):
    leader = await fleet.wait_for_leader()
    first, second = [name for name in fleet.names if name != leader]
    await request_maintenance(fleet, [first, second], leader, work=2.0)
    await wait_for_state(fleet, first, "in work")

    async def is_late():
        found = await maintenance_rows(fleet, leader)
        return found and found[first]["late"] and found[second]["state"] == "waits"

    await fleet.wait_until(is_late)
    supervisor = Supervisor(fleet)  # from now on it returns
    await wait_until_none_left(fleet)
    supervisor.task.cancel()
    assert maintained_in_order(fleet) == [first, second]


@case(singleton_tasks=maintenance_settings(most=2), count=4)
async def reload_that_lowers_the_limit_below_the_number_out(fleet):
    leader = await fleet.wait_for_leader()
    others = [name for name in fleet.names if name != leader]
    await request_maintenance(fleet, others, leader)
    for name in others[:2]:
        await wait_for_state(fleet, name, "in work")
    for server in fleet.servers.values():
        server.path("settings.ini").write_text(fleet.settings(server, maintenance_settings(most=1)))
        if server.process.returncode is None:
            server.process.send_signal(signal.SIGHUP)
    await asyncio.sleep(1.0)
    supervisor = Supervisor(fleet)
    await wait_until_none_left(fleet)
    supervisor.task.cancel()
    found = maintenance_periods(fleet)
    third = [one for one in found if one[0] == others[2]]
    assert len(third) == 1 and all(to <= third[0][1] for name, _, to, _ in found if name != others[2]), found


@pytest.fixture(scope="module")
def outcomes(tmp_path_factory):
    return case.play(tmp_path_factory)


@pytest.mark.parametrize("name", case.cases)
def test_maintenance_under_fault(outcomes, name):
    assert outcomes[name] is None, outcomes[name][1]

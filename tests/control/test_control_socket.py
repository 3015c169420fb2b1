"""The control socket: requests that are none, who may use it, and a running server asked and held at a
level."""

import asyncio
import json
import os
import socket
import stat
import threading

import pytest
from program_support import command

from valeturn.control import client, requests, server
from valeturn.lab import restarts
from valeturn.transport.scheduler import Scheduler


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"{",
        b"[]",
        b'{"do":"odd"}',
        b'{"do":["status"]}',
        b'{"do":"hold"}',
        b'{"do":"hold","level":"a"}',
        b'{"do":"hold","level":"a","for":0}',
        b'{"do":"hold","level":"a","for":1e999}',
        b"[" * 3000,
        b'{"do":"hold","level":"a","for":true}',
        b'{"do":"hold","level":5,"for":5}',
        b"\xff\xfe",
    ],
)
def test_requests_that_are_none_are_told_why(line):
    got = requests.read(line)
    assert isinstance(got, requests.Bad) and not json.loads(requests.refused(got.why))["good"]


def test_requests_come_in_any_split_and_are_bounded():
    text, lines, got = b'{"do":"status"}\n{"do":"hold","level":"a","for":2}\n', requests.Lines(), []
    for at in range(len(text)):
        got += lines.feed(text[at : at + 1])
    assert [requests.read(line) for line in got] == [requests.Status(), requests.Hold("a", 2.0)]
    assert requests.Lines().feed(b"x" * 5000) is None


def test_the_socket_is_its_owner_s_and_takes_nobody_s_place(tmp_path):
    path = str(tmp_path / "s")
    sock = server.listen(path)
    assert stat.S_IMODE(os.stat(path).st_mode) == 0o600
    with pytest.raises(server.InUse):
        server.listen(path)
    sock.close()  # as a killed server leaves it
    server.listen(path).close()
    other = tmp_path / "file"
    other.write_text("mine")
    with pytest.raises(OSError):
        server.listen(str(other))
    assert other.read_text() == "mine"


def test_clients_that_flood_or_stay_silent_hold_nobody_up(tmp_path):
    path, scheduler, counts = str(tmp_path / "s"), Scheduler(), {}
    control = server.Control(
        scheduler,
        path,
        lambda request: requests.good(said=1),
        lambda name: counts.__setitem__(name, counts.get(name, 0) + 1),
    )
    said = []

    def play():
        silent = [socket.socket(socket.AF_UNIX) for _ in range(server.CLIENTS - 1)]
        for one in silent:
            one.connect(path)
        with socket.socket(socket.AF_UNIX) as flood:
            flood.connect(path)
            flood.sendall(b"x" * 9000)
            said.append(json.loads(flood.recv(4096)))
        said.append(client.ask(path, {"do": "status"}))
        said.append(client.ask(path, {"do": "odd"}))
        for one in silent:
            one.close()
        scheduler.call_later(0, scheduler.stop)
        with socket.socket(socket.AF_UNIX) as last:  # wakes the loop
            last.connect(path)

    thread = threading.Thread(target=play)
    thread.start()
    scheduler.call_later(20, scheduler.stop)
    scheduler.run()
    thread.join()
    assert [one["good"] for one in said] == [False, True, False]
    assert counts["control.too_long"] == counts["control.status"] == counts["control.bad"] == 1
    control.close()
    assert not os.path.exists(path)


LEVELS = """
[control]
socket = {socket}
[metrics]
file = {socket}.prom
every = 1 s
[level slim]
rank = 1
enter = cores.busy > 99 % for 60 s
leave = cores.busy < 50 %
turn_back = quote
"""


def test_a_running_server_is_asked_and_held_at_a_level(tmp_path):
    path = str(tmp_path / "c.sock")
    lane = restarts.Lane(tmp_path / "lane", 1, 1, 0)

    async def play():
        await lane.set_up()
        lane.settings.write_text(lane.settings.read_text() + LEVELS.format(socket=path))
        await lane.start()
        loop = asyncio.get_running_loop()

        async def run(*words):
            return await loop.run_in_executor(None, lambda: command(*words))

        lane.gateways = (gateway,) = [restarts.Gateway(lane.address, 1, lane)]
        for _ in range(400):
            one = await gateway.once("k0", "quote", 1.0)
            if one is not None and one.outcome == "delivered":
                break
            await asyncio.sleep(0.02)
        done = await run("status", path)
        assert done.returncode == 0 and "level: none" in done.stdout and "delivered 1" in done.stdout, done
        assert (await run("level", "hold", "slim", "--for", "30", path)).returncode == 2, "no unit"
        assert (await run("level", "hold", "odd", "--for", "5min", path)).returncode == 1
        assert (await run("level", "hold", "slim", "--for", "5min", path)).returncode == 0
        held = [
            (await gateway.once(f"k{n}", workload, 1.0)).outcome
            for n, workload in enumerate(("quote", "book", "file"), 1)
        ]
        status = json.loads((await run("status", "--json", path)).stdout)[path]
        assert held == ["turned back", "delivered", "delivered"]
        assert (status["level"]["now"], status["level"]["state"]) == ("slim", "pinned")
        text = (await run("metrics", path)).stdout
        assert 'valeturn_level{level="slim"} 1.0' in text and "valeturn_link_up 1.0" in text
        assert 'valeturn_events_total{group="out",name="delivered"}' in text
        await asyncio.sleep(1.2)
        assert 'valeturn_level{level="slim"} 1.0' in open(path + ".prom", encoding="utf-8").read()
        assert (await run("level", "free", path)).returncode == 0
        assert (await run("level", "free", path)).returncode == 1, "nothing is held"
        assert (await gateway.once("k9", "quote", 1.0)).outcome == "delivered"
        assert (await run("status", path, str(tmp_path / "none"))).returncode == 1
        gateway.close()
        lane.process.send_signal(15)
        assert await asyncio.wait_for(lane.process.wait(), 10) == 0
        for one in lane.servers:
            one.close()

    asyncio.run(play())
    log = (tmp_path / "lane" / "log").read_text()
    assert 'event=level server=lab from=none to=slim why="by hand for 300 s"' in log
    assert "from=slim to=none" in log and not os.path.exists(path)


STATUS = {
    "name": "n3",
    "version": "0.3.0",
    "up_s": 12.0,
    "leaving": False,
    "out": {"delivered": 30, "turned_back": 4},
    "beliefs": {
        "open": 3,
        "owed": 2,
        "running": 1,
        "at_calls": 1,
        "in_doubt": 0,
        "calls_out": 1,
        "link_up": 1,
        "good": 1,
        "cpu_share": 0.25,
        "connections": 9,
    },
    "level": {"now": "slim", "for_s": 4.0, "why": "calls.failing > 20 %", "state": "in"},
}


def test_top_shows_each_server_with_what_happens_a_second_and_why():
    top = pytest.importorskip("valeturn.control.top")
    before = {**STATUS, "up_s": 10.0, "out": {"delivered": 10}}
    shown = dict(zip(top.COLUMNS, top.row("p", {"good": True, "status": STATUS}, before, 2.0)))
    assert (shown["level"], shown["delivered/s"], shown["turned back/s"], shown["state"]) == (
        "slim",
        "10.0",
        "2.0",
        "good",
    )
    assert top.row("p", {"good": False, "why": "can't be asked"}, None, 0.0)[-1] == "can't be asked"
    assert (
        top.whys([{"good": True, "status": STATUS}, {"good": False}])
        == "n3: slim because calls.failing > 20 %"
    )
    assert "slim for 4 s because" in requests.human("p", STATUS)


def test_top_runs_over_a_server_and_one_that_is_gone(tmp_path, monkeypatch):
    top = pytest.importorskip("valeturn.control.top")
    answers = {"here": {"good": True, "status": STATUS}, "gone": {"good": False, "why": "can't be asked"}}
    monkeypatch.setattr(top, "ask", lambda path, request: answers[path])

    async def play():
        app = top.Top(["here", "gone"])
        async with app.run_test() as pilot:
            await pilot.pause()
            table = app.query_one(top.DataTable)
            return [table.get_row_at(n)[0] for n in range(table.row_count)]

    assert asyncio.run(play()) == ["n3", "gone"]

"""What harms when two hundred servers do it at once, and what the fleet trial asks of a server's start."""

import json
import os
import pathlib
import shlex
import signal
import socket
import subprocess
import sys
import threading
import time
import tomllib

import pytest
from helpers import Caller, DispatcherHarness
from program_support import ROOT, answers, changed, submit

from valeturn.admission import controller as rules_module
from valeturn.admission import interface
from valeturn.admission.controller import AdmissionController
from valeturn.dispatch.registry_client import RegistryClient
from valeturn.lab.fleet_scenarios import days, history_checker
from valeturn.lab.fleet_scenarios.baselines import Pool
from valeturn.lab.fleet_scenarios.gateways import Asked, Try
from valeturn.lab.fleet_scenarios.main import days_named, play
from valeturn.lab.fleet_scenarios.world import Fleet
from valeturn.protocol import executor as executor_protocol
from valeturn.transport.scheduler import Scheduler
from valeturn.transport.seeded_random import SeededRandom

# ---- how a server is started

TRACED = """
import os, runpy, sys
SEEN = ("socket.__new__", "subprocess.Popen", "os.fork", "os.forkpty", "os.posix_spawn", "os.exec",
        "os.system")
def hook(event, args):
    if event in SEEN:
        kind = args[1] if event == "socket.__new__" else ""
        print("TRACED", event, int(kind) if kind != "" else "", file=sys.__stdout__, flush=True)
    elif event == "open" and isinstance(args[2], int) and args[2] & (os.O_WRONLY | os.O_RDWR | os.O_CREAT):
        print("TRACED wrote", args[0], file=sys.__stdout__, flush=True)
sys.addaudithook(hook)
"""


def started(tmp_path, before=""):
    """The deploy file's `run` line from the root, by this Python; what its audit hook saw up to its end."""
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        words = shlex.split(tomllib.load(file)["run"])
    assert words[0] == "exec" and words[2:] == ["-m", "valeturn"], "one process, in the shell's place"
    raw = changed("stop_ms", 1000)
    own = f"127.{60 + os.getpid() % 30}.{os.getpid() // 30 % 250}.9"
    for field in ("listen", "executor", "ledger", "naming"):
        raw[field] = f"{own}:{raw[field].rpartition(':')[2]}"
    (tmp_path / "config.json").write_text(json.dumps(raw))
    (tmp_path / "only").mkdir()
    code = TRACED + before + "\nsys.argv = ['valeturn']\nrunpy.run_module('valeturn', run_name='__main__')\n"
    run = subprocess.Popen(
        ["/bin/sh", "-c", f"exec {shlex.quote(sys.executable)} -c {shlex.quote(code)}"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env={
            "PATH": os.environ["PATH"],
            "EDGE_CONFIG": str(tmp_path / "config.json"),
            "TMPDIR": str(tmp_path / "only"),
            "PYTHONDONTWRITEBYTECODE": "1",
        },
    )
    while "event=server_listening" not in (line := run.stderr.readline()):
        assert line, run.communicate()
    pid_is_the_shell_s = os.readlink(f"/proc/{run.pid}/exe") == os.path.realpath(sys.executable)
    with socket.create_connection((own, 4100), timeout=10):
        run.send_signal(signal.SIGTERM)
        out, log = run.communicate(timeout=20)
    assert run.returncode == 0 and "clean=True" in log and pid_is_the_shell_s
    return [line[7:] for line in out.splitlines() if line.startswith("TRACED ")]


def test_without_an_operator_s_file_no_process_no_unix_socket_and_nothing_written(tmp_path):
    seen = started(tmp_path)
    assert seen and {line for line in seen} == {f"socket.__new__ {int(socket.AF_INET)}"}
    assert not list((tmp_path / "only").iterdir())


def test_the_trace_would_see_them(tmp_path):
    bad = "import socket, subprocess; socket.socketpair(); subprocess.run(['true'])"
    seen = started(tmp_path, bad)
    assert f"socket.__new__ {int(socket.AF_UNIX)}" in seen and any("subprocess" in line for line in seen)


def test_the_deploy_file_names_all_that_a_server_loads():
    done = subprocess.run(
        [
            sys.executable,
            "-c",
            "import valeturn.server.commands, valeturn.server.server, sys; print(*("
            "m.__file__ for n, m in sorted(sys.modules.items()) if n.split('.')[0] == 'valeturn'))",
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        deploy = tomllib.load(file)
    for path in done.stdout.split():
        path = pathlib.Path(path).resolve().relative_to(ROOT.resolve())
        assert any(path.is_relative_to(named) for named in deploy["node"] + deploy["policy"]), path


# ---- two hundred at once


class Virtual(Scheduler):
    """Time goes from one timer to the next."""

    def __init__(self):
        self.now = 0.0
        super().__init__(clock=lambda: self.now)

    def poll(self, timeout=None):
        if not self.ready and not self.low_priority_ready and timeout is None:
            self.now = max(self.now, self.timers[0][0])
        return False


def test_servers_that_start_at_one_tick_soon_report_apart():
    """The fullest hundredth of a second of the last three of 30, for 200 servers started at one moment."""
    scheduler, reports = Virtual(), []

    class Told(RegistryClient):
        def report(self):
            reports.append(scheduler.now)
            return True

    for number in range(200):
        Told(scheduler, ("127.0.0.1", 1), f"n{number}", SeededRandom(0x9E3779B97F4A7C15 * (number + 1)), len)
    scheduler.call_later(30.0, scheduler.stop)
    scheduler.run()
    assert len([t for t in reports if t == 0.0]) == 200, "the first tells that it is there"
    last = [int(100 * t) for t in reports if t >= 27.0]
    assert len(last) >= 200 * 4 and max(last.count(slot) for slot in set(last)) <= 20


def test_ever_new_callers_and_ids_leave_every_table_bounded():
    """45 minutes, four submissions a second, each from a caller never seen before; then a caller that stays
    keeps its place among them."""
    s = interface.Settings(
        workloads=days.WORKLOADS, cores=2, tick=0.005, answer_slack=0.1, call_quota_window=5.0
    )
    rules = AdmissionController(s, 1, 0.0)
    for number in range(45 * 60 * 4):
        now = number / 4
        caller = 7 if number % 100 == 0 else 1000 + number
        rules.decide(now, [interface.Arrived(number, 1, caller=caller, time_left=2.0, cost_hint=0.1)])
        rules.decide(
            now + 0.1,
            [
                interface.Ended(number, interface.Outcome.DONE, 0.1),
                interface.TimerFired(0, interface.Gauges(0.2, 0)),
            ],
        )
    sizes = {name: len(value) for name, value in vars(rules).items() if hasattr(value, "__len__")}
    assert sizes.pop("usual_timeouts") == rules_module.MAX_USUAL_TIMEOUTS and max(sizes.values()) < 50, sizes
    assert (7, 1) in rules.usual_timeouts


def test_ever_new_ids_leave_the_owner_s_tables_empty():
    ends = DispatcherHarness()
    for number in range(3000):
        caller = Caller()
        _, call = ends.arrive("file", caller, actions=[interface.Start])
        ends.turn(executor_protocol.RunEnded(number + 1, call, executor_protocol.RunResult.DONE, 0.1, b"r"))
        assert caller.answers
    dispatcher = ends.dispatcher
    assert (
        not dispatcher.pending
        and not dispatcher.by_call_id
        and not dispatcher.by_stream
        and not dispatcher.health_checks
    )


# ---- the days, small


SMALL = dict(servers=12, gateways=6, seconds=24.0)


@pytest.mark.parametrize("name", days.DAYS)
def test_each_day_keeps_the_rules_and_earns_more_than_a_plain_pool(name):
    module, pool = (play(name, 3, rules=which, **SMALL) for which in ("module", "pool"))
    assert module[4] == 0, module[0]
    assert module[2] > pool[2], "on the same demand"
    assert play(name, 3, rules="module", **SMALL)[0] == module[0], "the same seed plays the same"
    with pytest.raises(KeyError):
        days_named(f"calm,{name}s")


def test_days_differ_by_their_seed_and_keep_to_what_they_say():
    drawn = [days.draw("zone", seed, 40, 20, 40.0) for seed in range(1, 21)]
    slows = [slow for day in drawn for slow in day.slows]
    assert {slow.failing > 0 for slow in slows} == {True, False} and {day.zones for day in drawn} == {1, 2, 3}
    assert all(len(slow.servers) == 5 for slow in slows), "one in eight"
    for name in days.DAYS:
        day = days.draw(name, 4, 40, 20, 40.0)
        assert all(0 <= n < 40 for out in day.outs for n in out.servers)
        assert all(0 <= n < 20 for restart in day.restarts for n in restart.gateways)
    gone = days.draw("join", 4, 40, 20, 40.0).outs
    assert sum(len(out.servers) for out in gone) == 24 and gone[-1].at - gone[0].at <= 7.0
    (restart,) = days.draw("herd", 4, 40, 20, 40.0).restarts
    assert len(restart.gateways) == 14 and restart.over == 1.0
    assert days.draw("split", 4, 40, 20, 40.0).list_lag[0] >= 5.0


class Bad(AdmissionController):
    """A module with one fault planted."""

    fault = None

    def decide(self, now, events):
        if self.fault == "drain":
            events = [e for e in events if not isinstance(e, interface.DrainStarted)]
        out = super().decide(now, events)
        if self.fault == "silent":
            out = [a for a in out if not isinstance(a, (interface.Fail, interface.Reject))]
        elif self.fault == "again":
            out += [
                interface.Reject(a.id, 0.0, False)
                for a in out
                if isinstance(a, interface.Start) and self.submissions[a.id].workload == 2
            ]
        return out


@pytest.mark.parametrize("fault, found", [("silent", "lost"), ("again", "back_after_run"), ("drain", "lost")])
def test_the_witness_finds_each_planted_fault(fault, found):
    day = days.draw("join", 3, **{**SMALL, "seconds": 16.0})
    fleet = Fleet(day, type("Planted", (Bad,), {"fault": fault}))
    fleet.run()
    assert getattr(fleet.witness, found) > 0, fleet.witness.line()


def test_the_witness_counts_effects_and_answers_by_themselves():
    seen = history_checker.Witness()
    asked = Asked(0.0, 2, 0.4, 0.4, 0.5, 0, 1, 6.0, once=True)
    server_ = type("S", (), {"grace_over": 2.0, "life": 1, "up": True})
    one, other = (Try(asked, None, server_, 0.0, 3.0) for _ in range(2))
    one.reached_at, other.reached_at, one.life, other.life = 1.0, 2.5, 1, 1
    other.read_at = 2.6
    seen.began(one, server_, 1.1)
    assert (seen.twice, seen.late_in_drain) == (0, 0)
    seen.began(other, server_, 2.6)
    assert (seen.twice, seen.late_in_drain) == (1, 1)
    seen.answered(one, history_checker.DELIVERED)
    seen.answered(one, history_checker.WRITTEN_OFF)
    seen.due(other)
    assert (seen.answered_twice, seen.lost) == (1, 1) and seen.broken() == 4


def test_a_plain_pool_keeps_a_short_queue():
    pool = Pool(interface.Settings(workloads=days.WORKLOADS, cores=1), 1, 0.0)
    out = pool.decide(0.0, [interface.Arrived(n, 1, time_left=2.0) for n in range(9)])
    assert [a.id for a in out if isinstance(a, interface.Start)] == [0, 1]
    assert [a.id for a in out if isinstance(a, interface.Reject)] == [4, 5, 6, 7, 8]


# ---- a reload in the middle of a release


def forward(address, to):
    """Another address of the same outsider: every connection is carried on to it."""
    listener = socket.create_server(address)

    def carry(one, other):
        try:
            while data := one.recv(65536):
                other.sendall(data)
            other.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def accept():
        while True:
            try:
                here, _ = listener.accept()
            except OSError:
                return
            there = socket.create_connection(to)
            for pair in ((here, there), (there, here)):
                threading.Thread(target=carry, args=pair, daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return listener


@pytest.mark.parametrize("first", [signal.SIGHUP, signal.SIGTERM])
def test_all_addresses_move_while_the_server_drains(server, tmp_path, first):  # noqa: F811
    run, address, _ = server
    raw = json.loads((tmp_path / "config.json").read_text())
    listeners = []
    for number, field in enumerate(("executor", "ledger", "naming")):
        host, _, port = raw[field].rpartition(":")
        listeners.append(forward((host, 4290 + 10 * first + number), (host, int(port))))
        raw[field] = f"{host}:{4290 + 10 * first + number}"
    with socket.create_connection(address, timeout=20) as sock:
        for stream in range(1, 11):
            sock.sendall(submit(stream, "file"))
        time.sleep(0.02)
        (tmp_path / "config.json").write_text(json.dumps(raw))
        for number in (first, *({signal.SIGHUP, signal.SIGTERM} - {first})):
            run.send_signal(number)
            time.sleep(0.01)
        sock.sendall(submit(11, "quote"))
        got, _ = answers(sock, 11)
    _, log = run.communicate(timeout=20)
    for listener in listeners:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
    assert {code for code, _ in got.values()} == {1} and len(got) == 11
    assert "moved=executor,naming,ledger" in log and "unanswered=0 took" in log and "clean=True" in log

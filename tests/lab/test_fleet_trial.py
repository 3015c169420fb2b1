"""Behaviour that matters when 200 servers show it at once, the start of a server, and the scenario days."""

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

from valeturn.admission import controller as controller_module
from valeturn.admission import interface
from valeturn.admission.controller import AdmissionController
from valeturn.dispatch.registry_client import RegistryClient
from valeturn.lab.fleet_scenarios import days, history_checker
from valeturn.lab.fleet_scenarios.baselines import Pool
from valeturn.lab.fleet_scenarios.gateways import Attempt, ClientRequest
from valeturn.lab.fleet_scenarios.main import days_named, play
from valeturn.lab.fleet_scenarios.simulation import FleetSimulation
from valeturn.protocol import executor as executor_protocol
from valeturn.transport.scheduler import Scheduler
from valeturn.transport.seeded_random import SeededRandom

# ---- the start of a server

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


def run_traced_server(tmp_path, before=""):
    """Run the deploy file's `run` line with this Python until SIGTERM; return the audit events."""
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        words = shlex.split(tomllib.load(file)["run"])
    assert words[0] == "exec" and words[2:] == ["-m", "valeturn"], "one process, which replaces the shell"
    configuration = changed("stop_ms", 1000)
    own = f"127.{60 + os.getpid() % 30}.{os.getpid() // 30 % 250}.9"
    for field in ("listen", "executor", "ledger", "naming"):
        configuration[field] = f"{own}:{configuration[field].rpartition(':')[2]}"
    (tmp_path / "config.json").write_text(json.dumps(configuration))
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
    replaced_shell = os.readlink(f"/proc/{run.pid}/exe") == os.path.realpath(sys.executable)
    with socket.create_connection((own, 4100), timeout=10):
        run.send_signal(signal.SIGTERM)
        out, log = run.communicate(timeout=20)
    assert run.returncode == 0 and "clean=True" in log and replaced_shell
    return [line[7:] for line in out.splitlines() if line.startswith("TRACED ")]


def test_without_operator_file_starts_no_process_opens_no_unix_socket_and_writes_nothing(tmp_path):
    seen = run_traced_server(tmp_path)
    assert seen and {line for line in seen} == {f"socket.__new__ {int(socket.AF_INET)}"}
    assert not list((tmp_path / "only").iterdir())


def test_trace_detects_processes_and_unix_sockets(tmp_path):
    bad = "import socket, subprocess; socket.socketpair(); subprocess.run(['true'])"
    seen = run_traced_server(tmp_path, bad)
    assert f"socket.__new__ {int(socket.AF_UNIX)}" in seen and any("subprocess" in line for line in seen)


def test_deploy_file_names_every_module_that_a_server_loads():
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


# ---- two hundred servers at once


class VirtualScheduler(Scheduler):
    """A scheduler whose clock jumps from one timer to the next."""

    def __init__(self):
        self.now = 0.0
        super().__init__(clock=lambda: self.now)

    def poll(self, timeout=None):
        if not self.ready and not self.low_priority_ready and timeout is None:
            self.now = max(self.now, self.timers[0][0])
        return False


def test_reports_of_servers_started_at_once_spread_out():
    """Of 200 servers started at once, at most 20 report in any 0.01 s of the last three of 30 seconds."""
    scheduler, reports = VirtualScheduler(), []

    class RecordingRegistryClient(RegistryClient):
        def report(self):
            reports.append(scheduler.now)
            return True

    for number in range(200):
        RecordingRegistryClient(
            scheduler, ("127.0.0.1", 1), f"n{number}", SeededRandom(0x9E3779B97F4A7C15 * (number + 1)), len
        )
    scheduler.call_later(30.0, scheduler.stop)
    scheduler.run()
    assert len([t for t in reports if t == 0.0]) == 200, "each reports at its start"
    last = [int(100 * t) for t in reports if t >= 27.0]
    assert len(last) >= 200 * 4 and max(last.count(slot) for slot in set(last)) <= 20


def test_controller_tables_stay_bounded_with_ever_new_callers_and_ids():
    """For 45 minutes, four submissions per second come from ever new callers; a caller that returns regularly
    keeps its entry."""
    settings = interface.Settings(
        workloads=days.WORKLOADS, cores=2, tick=0.005, answer_slack=0.1, call_quota_window=5.0
    )
    controller = AdmissionController(settings, 1, 0.0)
    for number in range(45 * 60 * 4):
        now = number / 4
        caller = 7 if number % 100 == 0 else 1000 + number
        controller.decide(now, [interface.Arrived(number, 1, caller=caller, time_left=2.0, cost_hint=0.1)])
        controller.decide(
            now + 0.1,
            [
                interface.Ended(number, interface.Outcome.DONE, 0.1),
                interface.TimerFired(0, interface.Gauges(0.2, 0)),
            ],
        )
    sizes = {name: len(value) for name, value in vars(controller).items() if hasattr(value, "__len__")}
    assert sizes.pop("usual_timeouts") == controller_module.MAX_USUAL_TIMEOUTS and max(sizes.values()) < 50, (
        sizes
    )
    assert (7, 1) in controller.usual_timeouts


def test_dispatcher_tables_are_empty_after_ever_new_ids():
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


# ---- the scenario days, with a small fleet


SMALL_FLEET = dict(servers=12, gateways=6, seconds=24.0)


@pytest.mark.parametrize("name", days.DAYS)
def test_each_day_keeps_the_guarantees_and_earns_more_than_a_worker_pool(name):
    module, pool = (play(name, 3, policy_name=policy, **SMALL_FLEET) for policy in ("module", "pool"))
    assert module[4] == 0, module[0]
    assert module[2] > pool[2], "on the same demand"
    assert play(name, 3, policy_name="module", **SMALL_FLEET)[0] == module[0], (
        "the same seed gives the same day"
    )
    with pytest.raises(KeyError):
        days_named(f"calm,{name}s")


def test_days_differ_by_seed_and_match_their_description():
    drawn = [days.draw("zone", seed, 40, 20, 40.0) for seed in range(1, 21)]
    slowdowns = [slow for day in drawn for slow in day.slowdowns]
    assert {slow.failing > 0 for slow in slowdowns} == {True, False} and {day.zones for day in drawn} == {
        1,
        2,
        3,
    }
    assert all(len(slow.servers) == 5 for slow in slowdowns), "one in eight"
    for name in days.DAYS:
        day = days.draw(name, 4, 40, 20, 40.0)
        assert all(0 <= n < 40 for outage in day.outages for n in outage.servers)
        assert all(0 <= n < 20 for restart in day.restarts for n in restart.gateways)
    outages = days.draw("join", 4, 40, 20, 40.0).outages
    assert sum(len(outage.servers) for outage in outages) == 24 and outages[-1].at - outages[0].at <= 7.0
    (restart,) = days.draw("herd", 4, 40, 20, 40.0).restarts
    assert len(restart.gateways) == 14 and restart.spread == 1.0
    assert days.draw("split", 4, 40, 20, 40.0).list_lag[0] >= 5.0


class FaultyController(AdmissionController):
    """A controller with one planted fault."""

    fault = None

    def decide(self, now, events):
        if self.fault == "drain":
            events = [event for event in events if not isinstance(event, interface.DrainStarted)]
        actions = super().decide(now, events)
        if self.fault == "silent":
            actions = [
                action for action in actions if not isinstance(action, (interface.Fail, interface.Reject))
            ]
        elif self.fault == "again":
            actions += [
                interface.Reject(action.id, 0.0, False)
                for action in actions
                if isinstance(action, interface.Start) and self.submissions[action.id].workload == 2
            ]
        return actions


@pytest.mark.parametrize(
    "fault, found", [("silent", "lost"), ("again", "rejected_after_start"), ("drain", "lost")]
)
def test_history_checker_finds_each_planted_fault(fault, found):
    day = days.draw("join", 3, **{**SMALL_FLEET, "seconds": 16.0})
    fleet = FleetSimulation(day, type("Planted", (FaultyController,), {"fault": fault}))
    fleet.run()
    assert getattr(fleet.history, found) > 0, fleet.history.summary()


def test_history_checker_counts_effects_and_answers_independently():
    checker = history_checker.HistoryChecker()
    request = ClientRequest(0.0, 2, 0.4, 0.4, 0.5, 0, 1, 6.0, unrepeatable=True)
    fake_server = type("S", (), {"grace_ends_at": 2.0, "incarnation": 1, "up": True})
    first, second = (Attempt(request, None, fake_server, 0.0, 3.0) for _ in range(2))
    first.reached_at, second.reached_at, first.incarnation, second.incarnation = 1.0, 2.5, 1, 1
    second.read_at = 2.6
    checker.record_start(first, fake_server, 1.1)
    assert (checker.repeated_runs, checker.started_after_grace) == (0, 0)
    checker.record_start(second, fake_server, 2.6)
    assert (checker.repeated_runs, checker.started_after_grace) == (1, 1)
    checker.record_answer(first, history_checker.DELIVERED)
    checker.record_answer(first, history_checker.FAILED)
    checker.check_deadline(second)
    assert (checker.answered_twice, checker.lost) == (1, 1) and checker.violation_count() == 4


def test_worker_pool_keeps_a_short_queue():
    pool = Pool(interface.Settings(workloads=days.WORKLOADS, cores=1), 1, 0.0)
    actions = pool.decide(0.0, [interface.Arrived(n, 1, time_left=2.0) for n in range(9)])
    assert [action.id for action in actions if isinstance(action, interface.Start)] == [0, 1]
    assert [action.id for action in actions if isinstance(action, interface.Reject)] == [4, 5, 6, 7, 8]


# ---- a reload during a release


def forward(address, to):
    """Listen on another address of the same service and forward every connection to it."""
    listener = socket.create_server(address)

    def copy_bytes(source, destination):
        try:
            while data := source.recv(65536):
                destination.sendall(data)
            destination.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def accept():
        while True:
            try:
                incoming, _ = listener.accept()
            except OSError:
                return
            outgoing = socket.create_connection(to)
            for pair in ((incoming, outgoing), (outgoing, incoming)):
                threading.Thread(target=copy_bytes, args=pair, daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return listener


@pytest.mark.parametrize("first", [signal.SIGHUP, signal.SIGTERM])
def test_all_addresses_move_while_the_server_drains(server, tmp_path, first):  # noqa: F811
    run, address, _ = server
    configuration = json.loads((tmp_path / "config.json").read_text())
    listeners = []
    for number, field in enumerate(("executor", "ledger", "naming")):
        host, _, port = configuration[field].rpartition(":")
        listeners.append(forward((host, 4290 + 10 * first + number), (host, int(port))))
        configuration[field] = f"{host}:{4290 + 10 * first + number}"
    with socket.create_connection(address, timeout=20) as sock:
        for stream in range(1, 11):
            sock.sendall(submit(stream, "file"))
        time.sleep(0.02)
        (tmp_path / "config.json").write_text(json.dumps(configuration))
        for number in (first, *({signal.SIGHUP, signal.SIGTERM} - {first})):
            run.send_signal(number)
            time.sleep(0.01)
        sock.sendall(submit(11, "quote"))
        received, _ = answers(sock, 11)
    _, log = run.communicate(timeout=20)
    for listener in listeners:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
    assert {code for code, _ in received.values()} == {1} and len(received) == 11
    assert "moved=executor,naming,ledger" in log and "unanswered=0 took" in log and "clean=True" in log

"""Configuration, log, counters, the command line, and the whole program on loopback with the toy."""

import json
import logging
import os
import signal
import socket
import subprocess
import sys
import time

import pytest
from helpers import frame
from program_support import CONFIG, ROOT, answers, changed, command, submit

from valeturn.server import configuration, logs
from valeturn.server.counters import Counters
from valeturn.server.server import Server
from valeturn.server.shutdown import MARGIN


def test_the_example_is_good_and_the_environment_goes_first():
    c = configuration.decode(CONFIG, {"EDGE_NAME": "n9", "EDGE_LISTEN": "127.0.0.4:99"})
    assert (c.name, c.listen, c.executor, c.seed, c.stop) == (
        "n9",
        ("127.0.0.4", 99),
        ("127.0.0.1", 7300),
        0x5EED,
        3.0,
    )
    assert c.names.settings.cores == 2 and c.names.settings.workloads[2].timeout == 3.0
    configuration.decode(changed("new", {"unknown": 1}))


@pytest.mark.parametrize(
    "path, value, field",
    [
        ("name", ..., "name"),
        ("name", "a/b", "name"),
        ("listen", "4100", "listen"),
        ("listen", "h:0", "listen"),
        ("executor", ..., "executor"),
        ("ledger", 5, "ledger"),
        ("naming", "h:x", "naming"),
        ("seed", "xyz", "seed"),
        ("stop_ms", "soon", "stop_ms"),
        ("stop_ms", -1, "stop_ms"),
        ("limits.sockets", 3, "limits.sockets"),
        ("limits", [], "limits"),
        ("settings", 3, "settings"),
        ("settings.request_classes", [], "request_classes"),
        ("settings.request_classes", [{}], "settings"),
        ("settings.domain.cpus", 0, "domain.cpus"),
        ("settings.domain.heap_kb", "much", "domain.heap_kb"),
        ("settings.rules.cold_ms", -5, "rules.cold_ms"),
        ("settings.request_classes.0.name", "file", "request_classes[2].name"),
        ("settings.request_classes.1.goal_time_ms", 0, "request_classes[1].goal_time_ms"),
    ],
)
def test_a_wrong_configuration_is_told_in_one_line_that_names_the_field(path, value, field):
    with pytest.raises(configuration.ConfigurationError) as wrong:
        configuration.decode(changed(path, value))
    assert field in str(wrong.value) and "\n" not in str(wrong.value)


def test_the_command_line_says_what_it_can_and_what_is_wrong(tmp_path):
    assert command("version").stdout == "valeturn 0.3.0\n" and "serve" in command("--help").stdout
    assert command("check", "examples/config.json").returncode == 0
    bad = tmp_path / "bad.json"
    bad.write_text("{")
    for done in (
        command(),
        command("serve", "--config", str(bad)),
        command("check", str(bad)),
        command("odd"),
    ):
        assert done.returncode == 2 and done.stderr and not done.stdout
    assert command(EDGE_CONFIG=str(bad)).stderr.count("\n") == 1


def test_log_lines_are_key_value_and_quoted_where_needed():
    record = logging.makeLogRecord({"msg": "drained", "created": 12.3456, "levelname": "INFO"})
    record.fields = {"server": "n3", "text": 'a "b"\nc', "took": 0.25, "empty": ""}
    assert logs.EventFormatter().format(record) == (
        'at=12.346 level=info event=drained server=n3 text="a \\"b\\"\\nc" took=0.25 empty='
    )


def test_a_log_that_nobody_reads_holds_nothing_up():
    reads, writes = os.pipe()
    handler = logs.NonBlockingHandler(writes)
    record = logging.makeLogRecord({"msg": "x" * 3000, "created": 1.0, "levelname": "INFO"})
    for _ in range(100):
        handler.emit(record)
    assert 0 < handler.dropped < 100
    os.read(reads, 1 << 20)
    handler.emit(record)
    assert os.read(reads, 1 << 20).endswith(b"x\n")
    os.close(reads)
    dropped = handler.dropped
    handler.emit(record)
    assert handler.dropped == dropped + 1
    os.close(writes)


def test_a_line_that_can_t_be_written_down_is_dropped():
    class Odd:
        def __str__(self):
            raise ValueError("says nothing")

    reads, writes = os.pipe()
    handler = logs.NonBlockingHandler(writes)
    handler.setFormatter(logs.EventFormatter())
    record = logging.makeLogRecord({"msg": "x", "created": 1.0, "levelname": "INFO"})
    record.fields = {"odd": Odd()}
    handler.emit(record)
    assert handler.dropped == 1
    os.close(reads)
    os.close(writes)


def test_counters_are_grouped_by_their_first_part():
    counters = Counters()
    for name in ("in.submissions", "out.delivered", "in.submissions"):
        counters.add(name)
    counters.times.add("decide", 0.001)
    counters.times.add("decide", 0.003)
    assert counters.groups() == {"in": {"submissions": 2}, "out": {"delivered": 1}}
    assert counters.times.means() == pytest.approx({"decide": 2.0, "decide_most": 3.0})


# ---- the whole program


def test_submissions_are_served_and_a_drain_answers_all_and_ends_well(server):
    run, address, toy = server
    with socket.create_connection(address, timeout=20) as sock, socket.create_connection(address) as other:
        sock.sendall(submit(1, "quote") + submit(2, "look-up") + submit(3, "odd") + frame(1, 4, b"\0"))
        got, others = answers(sock, 3)
        assert got == {1: (1, b"parcel 1 [about parcel 1]"), 2: (1, b"parcel 2"), 3: (0, b"")}
        assert others == [frame(2, 4, b"\x01\x00")]
        other.sendall(b"\xff\xff\xff\xff garbage")
        assert answers(other, 1)[0] == {0: (9, b"")} and other.recv(9) == b""
        sock.sendall(submit(10, "file"))
        time.sleep(0.05)
        run.send_signal(signal.SIGTERM)
        got, others = answers(sock, 1)
        assert got == {10: (1, b"parcel 10 [about parcel 10]")}
        while frame(3, 0) not in others:
            others.append(sock.recv(9) or pytest.fail("closed before the last word"))
    _, log = run.communicate(timeout=20)
    assert run.returncode == 0 and "event=server_stopped" in log and "clean=True" in log
    assert "event=answered" in log and "call=000000000000000a workload=file kind=delivered" in log
    assert "group=out" in log and "delivered=3" in log and "errors" not in log and "level=error" not in log
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address, timeout=5)


def test_what_the_executor_never_ends_is_answered_before_the_process_does(server):
    run, address, toy = server
    with socket.create_connection(address, timeout=20) as sock:
        toy.send_signal(signal.SIGSTOP)
        sock.sendall(submit(1, "file"))
        time.sleep(0.05)
        run.send_signal(signal.SIGTERM)
        assert answers(sock, 1)[0] == {1: (9, b"")}
    _, log = run.communicate(timeout=20)
    assert run.returncode == 0 and "event=server_drained" in log and "unanswered=0 took" in log


def test_the_module_is_told_to_be_done_before_the_process_ends():
    made = Server(configuration.decode(changed("stop_ms", 2000)), lambda *_, **__: None)
    told, made.dispatcher.put = [], lambda message: told.append(message) or 1 / 0
    made.shutdown.begun_at = made.scheduler.clock()
    with pytest.raises(ZeroDivisionError):
        made.shutdown.drain()
    assert told[0].time_left <= 2.0 - MARGIN


def test_counters_are_printed_on_a_signal(server):
    run, address, _ = server
    with socket.create_connection(address, timeout=20) as sock:
        sock.sendall(submit(1, "look-up"))
        answers(sock, 1)
        run.send_signal(signal.SIGUSR1)
        lines = []
        while not lines or "group=process" not in lines[-1]:
            lines.append(run.stderr.readline())
        assert any("group=in" in line and "submissions=1" in line for line in lines)
        (beliefs,) = [line for line in lines if "group=gauges" in line]
        assert "connections=1" in beliefs and "link_up=1" in beliefs and "owed=0" in beliefs
        assert "cpu_ms_per_request=" in lines[-1] and "lag_longest_ms=" in lines[-1]


def test_a_reload_moves_to_new_addresses_and_a_bad_file_changes_nothing(server, tmp_path):
    run, address, toy = server
    raw = json.loads((tmp_path / "config.json").read_text())

    def reload(text, event):
        (tmp_path / "config.json").write_text(text)
        run.send_signal(signal.SIGHUP)
        lines = [run.stderr.readline()]
        while f"event={event}" not in lines[-1]:
            lines.append(run.stderr.readline())
            assert lines[-1], lines
        return lines[-1]

    with socket.create_connection(address, timeout=20) as sock:
        assert "EDGE_CONFIG" in reload("{", "reload_rejected")
        sock.sendall(frame(1, 4, b"\0"))
        assert sock.recv(64) == frame(2, 4, b"\x01\x00"), "served on as before"
        own = raw["listen"].rpartition(":")[0]
        for number, field in enumerate(("executor", "ledger", "naming")):
            raw[field] = f"{own}:{4190 + number}"
        other = subprocess.Popen(
            [sys.executable, "examples/toy.py", raw["executor"], raw["ledger"], raw["naming"]],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
        )
        try:
            assert other.stdout.readline() == "ready\n"
            raw["limits"] = {**raw["limits"], "sockets": 600}
            told = reload(json.dumps(raw), "reload_applied")
            assert "moved=executor,naming,ledger need_restart=sockets" in told
            toy.kill()
            sock.sendall(submit(2, "quote"))
            assert answers(sock, 1)[0] == {2: (1, b"parcel 2 [about parcel 2]")}
        finally:
            other.kill()
            other.wait()

"""Configuration, log, counters, the command line, and a running server with the example's services."""

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
from valeturn.server.shutdown import MARGIN_S


def test_example_configuration_is_valid_and_environment_overrides_it():
    decoded = configuration.decode(CONFIG, {"EDGE_NAME": "n9", "EDGE_LISTEN": "127.0.0.4:99"})
    assert (decoded.name, decoded.listen, decoded.executor, decoded.seed, decoded.stop) == (
        "n9",
        ("127.0.0.4", 99),
        ("127.0.0.1", 7300),
        0x5EED,
        3.0,
    )
    assert decoded.names.settings.cores == 2 and decoded.names.settings.workloads[2].timeout == 3.0
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
def test_invalid_configuration_is_reported_in_one_line_that_names_the_field(path, value, field):
    with pytest.raises(configuration.ConfigurationError) as raised:
        configuration.decode(changed(path, value))
    assert field in str(raised.value) and "\n" not in str(raised.value)


def test_command_line_shows_usage_and_reports_errors(tmp_path):
    assert command("version").stdout == "valeturn 0.3.0\n" and "serve" in command("--help").stdout
    assert command("check", "examples/config.json").returncode == 0
    invalid = tmp_path / "bad.json"
    invalid.write_text("{")
    for completed in (
        command(),
        command("serve", "--config", str(invalid)),
        command("check", str(invalid)),
        command("odd"),
    ):
        assert completed.returncode == 2 and completed.stderr and not completed.stdout
    assert command(EDGE_CONFIG=str(invalid)).stderr.count("\n") == 1


def test_log_lines_are_key_value_pairs_quoted_where_needed():
    record = logging.makeLogRecord({"msg": "drained", "created": 12.3456, "levelname": "INFO"})
    record.fields = {"server": "n3", "text": 'a "b"\nc', "took": 0.25, "empty": ""}
    assert logs.EventFormatter().format(record) == (
        'at=12.346 level=info event=drained server=n3 text="a \\"b\\"\\nc" took=0.25 empty='
    )


def test_log_that_nobody_reads_does_not_block():
    read_end, write_end = os.pipe()
    handler = logs.NonBlockingHandler(write_end)
    record = logging.makeLogRecord({"msg": "x" * 3000, "created": 1.0, "levelname": "INFO"})
    for _ in range(100):
        handler.emit(record)
    assert 0 < handler.dropped < 100
    os.read(read_end, 1 << 20)
    handler.emit(record)
    assert os.read(read_end, 1 << 20).endswith(b"x\n")
    os.close(read_end)
    dropped = handler.dropped
    handler.emit(record)
    assert handler.dropped == dropped + 1
    os.close(write_end)


def test_log_line_that_can_t_be_formatted_is_dropped():
    class Unprintable:
        def __str__(self):
            raise ValueError("has no text")

    read_end, write_end = os.pipe()
    handler = logs.NonBlockingHandler(write_end)
    handler.setFormatter(logs.EventFormatter())
    record = logging.makeLogRecord({"msg": "x", "created": 1.0, "levelname": "INFO"})
    record.fields = {"odd": Unprintable()}
    handler.emit(record)
    assert handler.dropped == 1
    os.close(read_end)
    os.close(write_end)


def test_counters_are_grouped_by_the_first_component_of_their_names():
    counters = Counters()
    for name in ("in.submissions", "out.delivered", "in.submissions"):
        counters.add(name)
    counters.times.add("decide", 0.001)
    counters.times.add("decide", 0.003)
    assert counters.groups() == {"in": {"submissions": 2}, "out": {"delivered": 1}}
    assert counters.times.statistics_ms() == pytest.approx({"decide": 2.0, "decide_most": 3.0})


# ---- a running server


def test_submissions_are_served_and_a_drain_answers_all_of_them(server):
    process, address, services = server
    with (
        socket.create_connection(address, timeout=20) as sock,
        socket.create_connection(address) as invalid_sock,
    ):
        sock.sendall(submit(1, "quote") + submit(2, "look-up") + submit(3, "odd") + frame(1, 4, b"\0"))
        received, other_frames = answers(sock, 3)
        assert received == {1: (1, b"parcel 1 [about parcel 1]"), 2: (1, b"parcel 2"), 3: (0, b"")}
        assert other_frames == [frame(2, 4, b"\x01\x00")]
        invalid_sock.sendall(b"\xff\xff\xff\xff garbage")
        assert answers(invalid_sock, 1)[0] == {0: (9, b"")} and invalid_sock.recv(9) == b""
        sock.sendall(submit(10, "file"))
        time.sleep(0.05)
        process.send_signal(signal.SIGTERM)
        received, other_frames = answers(sock, 1)
        assert received == {10: (1, b"parcel 10 [about parcel 10]")}
        while frame(3, 0) not in other_frames:
            other_frames.append(sock.recv(9) or pytest.fail("closed without a closing frame"))
    _, log = process.communicate(timeout=20)
    assert process.returncode == 0 and "event=server_stopped" in log and "clean=True" in log
    assert "event=answered" in log and "call=000000000000000a workload=file kind=delivered" in log
    assert "group=out" in log and "delivered=3" in log and "errors" not in log and "level=error" not in log
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address, timeout=5)


def test_run_that_never_ends_is_answered_before_the_process_exits(server):
    process, address, services = server
    with socket.create_connection(address, timeout=20) as sock:
        services.send_signal(signal.SIGSTOP)
        sock.sendall(submit(1, "file"))
        time.sleep(0.05)
        process.send_signal(signal.SIGTERM)
        assert answers(sock, 1)[0] == {1: (9, b"")}
    _, log = process.communicate(timeout=20)
    assert process.returncode == 0 and "event=server_drained" in log and "unanswered=0 took" in log


def test_dispatcher_is_given_a_drain_deadline_before_the_end_of_the_process():
    drained = Server(configuration.decode(changed("stop_ms", 2000)), lambda *_, **__: None)
    messages, drained.dispatcher.put = [], lambda message: messages.append(message) or 1 / 0
    drained.shutdown.begun_at = drained.scheduler.clock()
    with pytest.raises(ZeroDivisionError):
        drained.shutdown.drain()
    assert messages[0].time_left <= 2.0 - MARGIN_S


def test_counters_are_logged_on_a_signal(server):
    process, address, _ = server
    with socket.create_connection(address, timeout=20) as sock:
        sock.sendall(submit(1, "look-up"))
        answers(sock, 1)
        process.send_signal(signal.SIGUSR1)
        lines = []
        while not lines or "group=process" not in lines[-1]:
            lines.append(process.stderr.readline())
        assert any("group=in" in line and "submissions=1" in line for line in lines)
        (gauges,) = [line for line in lines if "group=gauges" in line]
        assert "connections=1" in gauges and "link_up=1" in gauges and "owed=0" in gauges
        assert "cpu_ms_per_request=" in lines[-1] and "lag_longest_ms=" in lines[-1]


def test_reload_applies_new_addresses_and_an_invalid_file_changes_nothing(server, tmp_path):
    process, address, services = server
    raw = json.loads((tmp_path / "config.json").read_text())

    def reload(text, event):
        (tmp_path / "config.json").write_text(text)
        process.send_signal(signal.SIGHUP)
        lines = [process.stderr.readline()]
        while f"event={event}" not in lines[-1]:
            lines.append(process.stderr.readline())
            assert lines[-1], lines
        return lines[-1]

    with socket.create_connection(address, timeout=20) as sock:
        assert "EDGE_CONFIG" in reload("{", "reload_rejected")
        sock.sendall(frame(1, 4, b"\0"))
        assert sock.recv(64) == frame(2, 4, b"\x01\x00"), "the previous configuration stays in use"
        host = raw["listen"].rpartition(":")[0]
        for number, field in enumerate(("executor", "ledger", "naming")):
            raw[field] = f"{host}:{4190 + number}"
        new_services = subprocess.Popen(
            [sys.executable, "examples/toy.py", raw["executor"], raw["ledger"], raw["naming"]],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
        )
        try:
            assert new_services.stdout.readline() == "ready\n"
            raw["limits"] = {**raw["limits"], "sockets": 600}
            line = reload(json.dumps(raw), "reload_applied")
            assert "moved=executor,naming,ledger need_restart=sockets" in line
            services.kill()
            sock.sendall(submit(2, "quote"))
            assert answers(sock, 1)[0] == {2: (1, b"parcel 2 [about parcel 2]")}
        finally:
            new_services.kill()
            new_services.wait()

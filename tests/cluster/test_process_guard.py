"""The guard of a task's command: how it ends the command, and what it reports."""

import json
import signal
import subprocess
import sys
import time

from valeturn.cluster import process_guard


def run_guard(command, lines, grace_period="0.2", wait=5.0):
    process = subprocess.Popen(
        [sys.executable, "-I", "-S", process_guard.__file__, grace_period, command],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    for line in lines:
        process.stdin.write(line)
        process.stdin.flush()
        time.sleep(0.25)  # the shell has set its trap by then
    result = json.loads(process.stdout.readline())
    process.stdin.close()
    process.wait(wait)
    return result


def lease_until(seconds):
    return b"until %.6f\n" % (time.clock_gettime(time.CLOCK_BOOTTIME) + seconds)


def test_guard_reports_exit_code_and_output_of_command():
    result = run_guard("echo done; exit 3", [lease_until(5)])
    assert result == {"code": 3, "why": "ended", "tail": "done\n"}


def test_guard_kills_command_that_ignores_term_before_lease_ends():
    started_at = time.monotonic()
    result = run_guard("trap '' TERM; while :; do sleep 0.05; done", [lease_until(0.8)])
    assert result["why"] == "lease over"
    assert result["code"] == -signal.SIGKILL
    assert time.monotonic() - started_at < 1.2


def test_guard_lets_command_end_within_grace_period_when_stopped():
    command = "trap 'echo bye; exit 0' TERM; while :; do sleep 0.02; done"
    result = run_guard(command, [lease_until(9), b"stop\n"])
    assert result["why"] == "told to stop"
    assert result["code"] == 0
    assert result["tail"].endswith("bye\n")


def test_guard_ends_processes_that_command_left_in_session_of_their_own(tmp_path):
    heartbeat_file = tmp_path / "mark"
    command = f"setsid sh -c 'while :; do date > {heartbeat_file}; sleep 0.05; done' & sleep 0.3"
    result = run_guard(command, [lease_until(9)])
    assert result["code"] == 0
    assert heartbeat_file.exists()
    heartbeat_file.unlink()
    time.sleep(0.3)
    assert not heartbeat_file.exists()

"""The simulator adapter as a process: batches of JSON lines in, replies out."""

import json
import subprocess
import sys

PROFILE = {
    "tick_ms": 5.0,
    "servers": 2,
    "counted_by": "work",
    "a_new_key": [1],
    "rules": {
        "cold_ms": 9000.0,
        "drain_grace_ms": 1000.0,
        "grace_to_answer_ms": 100.0,
        "overload_factor": 8.0,
        "start_capacity": 0.2,
    },
    "domain": {
        "cpus": 2,
        "heap_kb": 9000.0,
        "run_mem_factor": 4.0,
        "halt": "drop",
        "gauges": ["cpu_busy", "odd"],
    },
    "request_classes": [{"name": "read", "semantics": "safe", "goal_time_ms": 1000.0, "give_up_ms": 3000.0}],
}


def exchange(*lines):
    """Send lines (text, or messages to encode) to an adapter process; return the replies and its stderr."""
    text = "\n".join(line if isinstance(line, str) else json.dumps(line) for line in lines) + "\n"
    command = [sys.executable, "-m", "valeturn.simulator_adapter"]
    process = subprocess.run(command, input=text, capture_output=True, text=True, timeout=30)
    assert process.returncode == 0
    replies, batch = [], []
    for line in process.stdout.splitlines():
        message = json.loads(line)
        if message == ["DONE"]:
            replies.append(batch)
            batch = []
        else:
            batch.append(message)
    assert batch == []
    return replies, process.stderr


def request(instance, request_id, workload="read"):
    return ["REQUEST", instance, request_id, 1.0, None, 0.5, 1, workload, None, 3, 10.0, None, None, 100.0]


def test_instances_are_independent_and_the_end_of_input_is_a_clean_exit():
    replies, errors = exchange(
        ["SYNC", 0.0],
        ["UP", 0, 7, PROFILE],
        ["UP", 1, 8, PROFILE],
        ["YOUR_TURN"],
        ["SYNC", 10.0],
        request(0, 11),
        request(1, 12),
        ["YOUR_TURN"],
        ["SYNC", 20.0],
        ["TIMER", 0, 0, [0.5, 3]],
        ["YOUR_TURN"],
        ["SYNC", 60.0],
        ["ENDED", 0, 11, "done", 50.0],
        ["DOWN", 1],
        ["UP", 1, 9, PROFILE],
        ["YOUR_TURN"],
    )
    assert [["READINESS", instance, True, True] in replies[0] for instance in (0, 1)] == [True, True]
    assert replies[1] == [["TAKE", 0, 11], ["TAKE", 1, 12]]
    assert replies[2] == [["WAKE_AT", 0, 100.0, 0]]
    assert ["READINESS", 1, True, True] in replies[3] and errors == ""


def test_malformed_input_is_reported_on_stderr_and_as_broken_where_it_names_an_instance():
    replies, errors = exchange(
        ["SYNC", 0.0],
        ["UP", 0, 7, PROFILE],
        ["YOUR_TURN"],
        "{not json",
        '["SYNC",5.0]',
        request(0, 11, "unheard"),
        ["MYSTERY", 0],
        ["YOUR_TURN"],
    )
    assert [message[0] for message in replies[1]] == ["BROKEN"]
    assert "malformed line" in errors and "unknown message 'MYSTERY'" in errors

"""The maintenance commands: exit codes, and the texts that operators see."""

import pytest

from valeturn.control import client
from valeturn.maintenance import commands

RECORD = {
    "server": "n0",
    "state": "in work",
    "for": "kernel",
    "urgent": True,
    "late": True,
    "unwanted": True,
    "fence": 1,
    "work_s": 60.0,
    "why": "its cores are needed",
    "for_s": 3.6,
}
STATUS = {"held": True, "owner": None, "here": "serves", "refused": 0, "rows": [RECORD]}


def arguments(action, **options):
    words = {word: word == action for word in ("out", "back", "turns", "hold", "go-on")}
    defaults = {"SOCKET": "s", "NAMES": "a, b,", "--json": False, "--urgent": False}
    defaults |= {"--work": None, "--wait": None, "--zone": None, "--for": "kernel"}
    return {**words, **defaults, **options}


@pytest.fixture
def control(monkeypatch):
    """Replace the control socket: `answers` by the request's `do`, and the received requests."""

    class Control:
        def __init__(self):
            self.answers = {}
            self.requests = []

        def ask(self, path, request, patience=3.0):
            self.requests.append(request)
            return self.answers[request["do"]]

    fake_control = Control()
    monkeypatch.setattr(client, "send_request", fake_control.ask)
    return fake_control


def test_request_has_the_keys_of_the_control_socket(control, capsys):
    control.answers = {"turns": {"good": True, "servers": ["a", "b"]}}
    assert commands.run(arguments("out", **{"--work": "5min"})) == 0
    assert control.requests == [
        {
            "do": "turns",
            "what": "out",
            "servers": ["a", "b"],
            "zone": None,
            "why": "kernel",
            "urgent": False,
            "work": 300.0,
        }
    ]
    assert capsys.readouterr().out == "s: out: a, b\n"


def test_refused_request_exits_with_three(control, capsys):
    control.answers = {"turns": {"good": False, "why": "no"}}
    assert commands.run(arguments("hold")) == 3
    assert capsys.readouterr().err == "s: no\n"


def test_bad_duration_exits_with_two_and_asks_nothing(control):
    assert commands.run(arguments("out", **{"--wait": "bogus"})) == 2
    assert control.requests == []


@pytest.mark.parametrize(
    ("state", "cancelled", "exit_code"),
    [("in work", False, 0), ("warming", True, 0), ("draining", False, 4), ("draining", True, 3)],
)
def test_wait_ends_when_servers_were_drained(control, monkeypatch, state, cancelled, exit_code):
    monkeypatch.setattr(commands, "POLL_INTERVAL", 0.01)
    record = {**RECORD, "server": "a", "state": state, "unwanted": cancelled}
    control.answers = {"status": {"good": True, "status": {"turns": {**STATUS, "rows": [record]}}}}
    assert commands.wait_until_drained("s", {"a"}, 0.05) == exit_code


def test_status_is_shown_in_the_operators_words(control, capsys):
    control.answers = {"status": {"good": True, "status": {"turns": STATUS}}}
    assert commands.run(arguments("turns")) == 0
    assert capsys.readouterr().out == (
        "owner NONE, turns are HELD: nobody else goes out\n"
        "  n0                   in work for 4 s, LATE, taken back, urgent (kernel): its cores are needed\n"
    )
    empty = {**STATUS, "owner": "n1", "held": False, "rows": []}
    assert commands.status_lines(empty) == ["owner n1", "  nobody has asked to go out"]


def test_status_without_maintenance_exits_with_one(control, capsys):
    control.answers = {"status": {"good": True, "status": {}}}
    assert commands.run(arguments("turns")) == 1
    assert capsys.readouterr().err == "s: no turns are configured, or it can't be asked\n"

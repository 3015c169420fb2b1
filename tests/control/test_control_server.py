"""The control server: who may connect to its socket, and clients that send too much or nothing."""

import itertools
import json
import os
import pathlib
import socket
import stat
import threading
from collections import Counter

import pytest

from valeturn.control import answers, client, server
from valeturn.control.errors import SocketInUseError
from valeturn.transport.message_pacing import MAX_MESSAGES_PER_TURN
from valeturn.transport.scheduler import Scheduler


def test_only_the_server_s_own_user_may_connect(tmp_path: pathlib.Path) -> None:
    path = str(tmp_path / "s")
    with server.open_listening_socket(path):
        assert stat.S_IMODE(os.stat(path).st_mode) == 0o600


def test_socket_on_which_a_process_listens_is_not_taken_over(tmp_path: pathlib.Path) -> None:
    path = str(tmp_path / "s")
    with server.open_listening_socket(path):
        with pytest.raises(SocketInUseError) as caught:
            server.open_listening_socket(path)
        assert caught.value.path == str(caught.value) == path


def test_socket_of_a_killed_server_is_replaced(tmp_path: pathlib.Path) -> None:
    path = str(tmp_path / "s")
    server.open_listening_socket(path).close()
    assert os.path.exists(path)
    server.open_listening_socket(path).close()


def test_other_file_at_the_path_is_left_alone(tmp_path: pathlib.Path) -> None:
    other = tmp_path / "file"
    other.write_text("mine")
    with pytest.raises(OSError, match="Address already in use"):
        server.open_listening_socket(str(other))
    assert other.read_text() == "mine"


def test_flooding_and_silent_clients_do_not_delay_others(tmp_path: pathlib.Path) -> None:
    path = str(tmp_path / "s")
    scheduler = Scheduler()
    counts = Counter()
    control = server.ControlServer(
        scheduler,
        path,
        lambda request: answers.encode_success(said=1),
        lambda name: counts.update([name]),
    )
    received = []

    def act_as_clients() -> None:
        silent = [socket.socket(socket.AF_UNIX) for _ in range(server.MAX_CLIENTS - 1)]
        for connection in silent:
            connection.connect(path)
        with socket.socket(socket.AF_UNIX) as flood:
            flood.connect(path)
            flood.sendall(b"x" * 9000)
            received.append(json.loads(flood.recv(4096)))
        received.append(client.send_request(path, {"do": "status"}))
        received.append(client.send_request(path, {"do": "odd"}))
        for connection in silent:
            connection.close()
        scheduler.call_later(0, scheduler.stop)
        with socket.socket(socket.AF_UNIX) as last:  # wakes the loop
            last.connect(path)

    thread = threading.Thread(target=act_as_clients)
    thread.start()
    scheduler.call_later(20, scheduler.stop)
    scheduler.run()
    thread.join()
    assert [answer["good"] for answer in received] == [False, True, False]
    assert counts["control.request_too_long"] == 1
    assert counts["control.status"] == 1
    assert counts["control.invalid_request"] == 1
    control.close()
    assert not os.path.exists(path)


def test_client_that_sends_requests_without_a_pause_does_not_delay_others(tmp_path: pathlib.Path) -> None:
    """Guards against a control server that answers all that one client sent before anything else runs."""
    path = str(tmp_path / "s")
    scheduler = Scheduler()
    control = server.ControlServer(
        scheduler, path, lambda request: answers.encode_success(said=1), lambda name: None
    )
    answered_before_turn = []
    answered = 0

    def count_answer(line: bytes) -> bytes:
        nonlocal answered
        answered += 1
        return b"{}\n"

    control._answer_line = count_answer  # type: ignore[method-assign]

    def flood() -> None:
        with socket.socket(socket.AF_UNIX) as connection:
            connection.connect(path)
            connection.sendall(b"?\n" * 3000)
            while connection.recv(65536):
                pass

    def take_turns() -> None:
        threading.Thread(target=flood, daemon=True).start()
        deadline = scheduler.clock() + 10.0
        while answered < 300 and scheduler.clock() < deadline:
            answered_before_turn.append(answered)
            scheduler.pause()
        control.close()
        scheduler.stop()

    scheduler.spawn(take_turns)
    scheduler.run()
    steps = [after - before for before, after in itertools.pairwise([*answered_before_turn, answered])]
    assert answered >= 300
    assert max(steps) <= 2 * MAX_MESSAGES_PER_TURN

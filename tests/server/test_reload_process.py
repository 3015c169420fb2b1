"""A server whose operator's file is being read anew, by a process of its own, when something else happens.

What happened: after a SIGHUP the server read its operator's file in a forked process. That process had a copy
of every descriptor of the server: the listening socket, the accepted connections, the lock of the store's
folder. When the server was killed meanwhile, its address went on taking connections that nobody read, its
callers were not told that it had gone, and its successor found the folder in use and ended.
A reader that never ended held up the whole loop, as the server waited for its exit without a limit.

What showed it: in the restart scenario with a SIGHUP before each kill, seed 1, five requests of one life were
cut. Their connection had been made 17 ms after that life's process was started and 630 ms before it logged
`server_listening`; nobody but the predecessor's forked process still listened there.

A named pipe in place of the file holds the reader for as long as a test wants.
"""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import pytest
from helpers import frame
from program_support import ROOT

from valeturn.lab import restarts
from valeturn.lab.addresses import reserve_address

PATIENCE = 10.0  # s for what a loaded machine does at once when it is idle

PING = frame(1, 1, b"\0")


class ReloadingServer:
    """One server with a store, whose operator's file can be made one that can't be read to its end."""

    def __init__(self, folder):
        self.folder = folder
        self.address = reserve_address()
        self.config = folder / "config.json"
        self.settings = folder / "valeturn.ini"
        self.started = []
        self.readers = []
        nobody = {name: reserve_address() for name in ("executor", "ledger", "naming")}
        self.config.write_text(json.dumps(restarts.configuration(nobody, self.address, 1)))
        self.text = restarts.SETTINGS.format(folder=folder / "kept")
        self.settings.write_text(self.text)

    def start(self):
        """Start a process and wait until it listens, or has ended."""
        with open(self.folder / "log", "ab") as log:
            process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "valeturn",
                    "serve",
                    "--config",
                    self.config,
                    "--settings",
                    self.settings,
                ],
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )
        before = self.log().count("server_listening")
        self.started.append(process)
        until(lambda: self.log().count("server_listening") > before or process.poll() is not None)
        return process

    def log(self):
        return (self.folder / "log").read_text()

    def hold_reload(self, process):
        """Ask for a reload and return the reader's process once it waits for a file that never ends."""
        self.settings.unlink()
        os.mkfifo(self.settings)
        process.send_signal(signal.SIGHUP)
        until(lambda: children_of(process.pid))
        time.sleep(0.2)
        (reader,) = children_of(process.pid)
        self.readers.append(reader)
        return reader

    def end_hold(self):
        self.settings.unlink()
        self.settings.write_text(self.text)

    def end(self):
        for process in self.started:
            process.kill()
            process.wait()
        for reader in self.readers:
            with contextlib.suppress(ProcessLookupError):
                os.kill(reader, signal.SIGKILL)


def until(condition, seconds=PATIENCE):
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "did not come about in time"
        time.sleep(0.01)


def children_of(process):
    return [
        int(word) for word in pathlib.Path(f"/proc/{process}/task/{process}/children").read_text().split()
    ]


def is_alive(process):
    try:
        return pathlib.Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()[0] not in "ZX"
    except OSError:
        return False


def open_files(process):
    """What each descriptor of a process is, by /proc."""
    found = []
    for entry in pathlib.Path(f"/proc/{process}/fd").iterdir():
        try:
            found.append(os.readlink(entry))
        except OSError:
            continue
    return found


@pytest.fixture
def server(tmp_path):
    made = ReloadingServer(tmp_path)
    yield made
    made.end()


def test_address_of_a_server_killed_during_a_reload_refuses_connections(server):
    process = server.start()
    server.hold_reload(process)
    process.kill()
    process.wait()
    with pytest.raises(ConnectionRefusedError), socket.create_connection(server.address, timeout=2):
        pass


def test_callers_of_a_server_killed_during_a_reload_see_their_connection_end(server):
    process = server.start()
    with socket.create_connection(server.address, timeout=PATIENCE) as caller:
        caller.sendall(PING)
        assert caller.recv(4096)
        server.hold_reload(process)
        process.kill()
        process.wait()
        with caller:
            caller.settimeout(2)
            try:
                while caller.recv(4096):
                    pass
            except ConnectionResetError:
                pass


def test_successor_of_a_server_killed_during_a_reload_starts_on_its_folder_and_port(server):
    process = server.start()
    server.hold_reload(process)
    process.kill()
    process.wait()
    server.end_hold()
    successor = server.start()
    assert successor.poll() is None, server.log()
    assert server.log().count("server_listening") == 2
    assert "address_in_use" not in server.log()


def test_reader_of_a_killed_server_ends_too(server):
    process = server.start()
    reader = server.hold_reload(process)
    process.kill()
    process.wait()
    until(lambda: not is_alive(reader))


def test_reader_has_no_file_or_socket_of_the_server(server):
    process = server.start()
    reader = server.hold_reload(process)
    shared = set(open_files(reader)) & set(open_files(process.pid))
    assert shared <= {"/dev/null", str(server.folder / "log")}


def test_server_that_is_told_to_stop_during_a_reload_ends_with_its_reader(server):
    process = server.start()
    reader = server.hold_reload(process)
    process.send_signal(signal.SIGTERM)
    assert process.wait(PATIENCE) == 0
    until(lambda: not is_alive(reader))


def test_server_serves_on_after_a_reader_that_never_ends(server):
    process = server.start()
    reader = server.hold_reload(process)
    until(lambda: "event=reload_rejected" in server.log(), 10 + PATIENCE)
    with socket.create_connection(server.address, timeout=2) as caller:
        caller.sendall(PING)
        assert caller.recv(4096)
    until(lambda: not is_alive(reader))
    assert children_of(process.pid) == []

"""Kills, signals and timeouts while a separate process reads the operator's file for a reload.

The reader used to be a fork of the server, which had copies of all its descriptors: the listening socket, the
connections and the lock of the store's directory. After the server was killed, its address accepted
connections that nobody read, callers did not see their connections close, and the next process found the
directory locked. In the restart scenario with a SIGHUP before each kill, seed 1, five requests were cut:
their connection was made 17 ms after the new process was started and 630 ms before it logged
`server_listening`, so that only the old reader was listening. The server also waited without a limit for its
reader to exit, so that a reader that never ended blocked the event loop.

The tests replace the file with a named pipe, which blocks the reader for as long as a test needs.
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

TIMEOUT_S = 10.0  # long enough on a loaded machine for what is immediate on an idle one

PING = frame(1, 1, b"\0")


class ReloadingServer:
    """A server with a result store, whose operator's file can be replaced with one that blocks its reader."""

    def __init__(self, folder):
        self.folder = folder
        self.address = reserve_address()
        self.config = folder / "config.json"
        self.settings = folder / "valeturn.ini"
        self.started = []
        self.readers = []
        unused_addresses = {name: reserve_address() for name in ("executor", "ledger", "naming")}
        self.config.write_text(json.dumps(restarts.configuration(unused_addresses, self.address, 1)))
        self.text = restarts.SETTINGS.format(folder=folder / "kept")
        self.settings.write_text(self.text)

    def start(self):
        """Start the server and wait until it listens or has exited; return its process."""
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
        wait_until(lambda: self.log().count("server_listening") > before or process.poll() is not None)
        return process

    def log(self):
        return (self.folder / "log").read_text()

    def block_reload(self, process):
        """Start a reload whose reader blocks on a pipe; return the reader's process number."""
        self.settings.unlink()
        os.mkfifo(self.settings)
        process.send_signal(signal.SIGHUP)
        wait_until(lambda: children_of(process.pid))
        time.sleep(0.2)
        (reader,) = children_of(process.pid)
        self.readers.append(reader)
        return reader

    def unblock_reload(self):
        self.settings.unlink()
        self.settings.write_text(self.text)

    def end(self):
        for process in self.started:
            process.kill()
            process.wait()
        for reader in self.readers:
            with contextlib.suppress(ProcessLookupError):
                os.kill(reader, signal.SIGKILL)


def wait_until(condition, seconds=TIMEOUT_S):
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "condition not met in time"
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
    """Return the targets of a process's file descriptors, from /proc."""
    targets = []
    for entry in pathlib.Path(f"/proc/{process}/fd").iterdir():
        try:
            targets.append(os.readlink(entry))
        except OSError:
            continue
    return targets


@pytest.fixture
def server(tmp_path):
    reloading_server = ReloadingServer(tmp_path)
    yield reloading_server
    reloading_server.end()


def test_address_of_a_server_killed_during_a_reload_refuses_connections(server):
    process = server.start()
    server.block_reload(process)
    process.kill()
    process.wait()
    with pytest.raises(ConnectionRefusedError), socket.create_connection(server.address, timeout=2):
        pass


def test_callers_of_a_server_killed_during_a_reload_see_their_connection_close(server):
    process = server.start()
    with socket.create_connection(server.address, timeout=TIMEOUT_S) as caller:
        caller.sendall(PING)
        assert caller.recv(4096)
        server.block_reload(process)
        process.kill()
        process.wait()
        with caller:
            caller.settimeout(2)
            try:
                while caller.recv(4096):
                    pass
            except ConnectionResetError:
                pass


def test_successor_of_a_server_killed_during_a_reload_uses_its_directory_and_port(server):
    process = server.start()
    server.block_reload(process)
    process.kill()
    process.wait()
    server.unblock_reload()
    successor = server.start()
    assert successor.poll() is None, server.log()
    assert server.log().count("server_listening") == 2
    assert "address_in_use" not in server.log()


def test_reader_of_a_killed_server_exits(server):
    process = server.start()
    reader = server.block_reload(process)
    process.kill()
    process.wait()
    wait_until(lambda: not is_alive(reader))


def test_reader_has_no_file_or_socket_of_the_server(server):
    process = server.start()
    reader = server.block_reload(process)
    shared = set(open_files(reader)) & set(open_files(process.pid))
    assert shared <= {"/dev/null", str(server.folder / "log")}


def test_termination_signal_during_a_reload_ends_server_and_reader(server):
    process = server.start()
    reader = server.block_reload(process)
    process.send_signal(signal.SIGTERM)
    assert process.wait(TIMEOUT_S) == 0
    wait_until(lambda: not is_alive(reader))


def test_server_continues_after_a_reader_times_out(server):
    process = server.start()
    reader = server.block_reload(process)
    wait_until(lambda: "event=reload_rejected" in server.log(), 10 + TIMEOUT_S)
    with socket.create_connection(server.address, timeout=2) as caller:
        caller.sendall(PING)
        assert caller.recv(4096)
    wait_until(lambda: not is_alive(reader))
    assert children_of(process.pid) == []

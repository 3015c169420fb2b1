"""Compatibility with earlier versions: their messages and files are read, and the same bytes are written.

The files under `tests/golden` were recorded from the code before its first rename. They are read here and
never written; `tests/golden/README.md` says what each holds. Names of modules, classes and fields may change,
bytes that leave a process may not. Fields are therefore compared by their position.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import pathlib
import shutil
import socket
from types import SimpleNamespace
from typing import Any
from unittest import mock

import pytest

from valeturn.cluster import codec, node, peer_connections, vote_file
from valeturn.cluster.options import ClusterOptions
from valeturn.cluster.raft import Persist, RaftNode, Send
from valeturn.cluster.raft_log import DurableState, LogEntry
from valeturn.cluster.replicated_state import ClusterState
from valeturn.cluster.task_options import SingletonTaskOptions
from valeturn.control import answers, requests
from valeturn.control.errors import InvalidRequestError
from valeturn.lab import restarts
from valeturn.lab.addresses import reserve_address
from valeturn.maintenance.coordinator import MaintenanceCoordinator, ServerMeasurement
from valeturn.maintenance.options import MaintenanceOptions
from valeturn.result_store import commands as store_commands
from valeturn.result_store import entry_states, records, snapshot
from valeturn.result_store.directory import StoreDirectory
from valeturn.result_store.environment import StoreEnvironment, StoreSettings
from valeturn.result_store.index import Index
from valeturn.result_store.limits import StoreLimits
from valeturn.result_store.opening import open_store
from valeturn.result_store.store import ResultStore
from valeturn.result_store.window_clock import ClockReading, StoreTimestamp
from valeturn.server.components import control as control_component
from valeturn.transport.listener import Listener
from valeturn.transport.scheduler import Scheduler
from valeturn.transport.seeded_random import SeededRandom
from valeturn.transport.streams import Stream
from valeturn.transport.worker_thread import InlineWorker

GOLDEN_FOLDER = pathlib.Path(__file__).parent / "golden"
CLUSTER_NAME = "lab"


def load_golden(name: str) -> Any:
    """Return the content of one JSON file under `tests/golden`."""
    return json.loads((GOLDEN_FOLDER / name).read_text())


def to_positional(value: Any) -> Any:
    """Convert a value to JSON types: tuples and mappings become lists, so that field names do not matter."""
    if isinstance(value, (bytes, bytearray)):
        return {"hex": bytes(value).hex()}
    if isinstance(value, dict):
        return [[to_positional(key), to_positional(item)] for key, item in value.items()]
    if isinstance(value, (tuple, list)):
        return [to_positional(item) for item in value]
    return value


def from_positional(value: Any) -> Any:
    """Invert `to_positional` for lists and bytes: lists become tuples, hex texts become bytes."""
    if isinstance(value, dict):
        return bytes.fromhex(value["hex"])
    if isinstance(value, list):
        return tuple(from_positional(item) for item in value)
    return value


# ---- messages between cluster members


class SimulatedCluster:
    """Four cluster nodes in virtual time, which exchange their messages as encoded bytes.

    It also stands for the scheduler of each node.
    """

    STEP_S = 0.01
    STEPS_PER_TICK = 10
    VOTERS = ("n0", "n1", "n2")
    NAMES = (*VOTERS, "n3")

    def __init__(self) -> None:
        self.step = 0
        self.connections: dict[str, SimulatedConnections] = {}
        self.nodes: dict[str, Any] = {}
        self.coordinators: dict[str, Any] = {}
        self.drained: list[str] = []
        self.in_flight: list[tuple[str, str, bytes]] = []
        self.blocked_links: set[frozenset[str]] = set()
        self.sent: list[bytes] = []
        for name in self.NAMES:
            self.start(name)

    @staticmethod
    def address(name: str) -> str:
        """Return the address of a server, which is derived from its number."""
        return f"10.0.0.{name[1:]}:7700"

    @property
    def now(self) -> float:
        """The virtual time, in seconds."""
        return self.step * self.STEP_S

    def start(self, name: str) -> None:
        """Start a server as a new incarnation, without kept state."""
        number = int(name[1:])
        seeds = tuple(self.address(voter) for voter in self.VOTERS)
        options = ClusterOptions(
            CLUSTER_NAME, self.address(name), seeds, self.VOTERS, None, f"z{number % 2}", 1.0, 2.0, False, 8
        )

        def monotonic_clock() -> float:
            return self.now + 1000.0 * number

        def wall_clock() -> float:
            return 1e6 + self.now

        def make_connections(*arguments: Any) -> SimulatedConnections:
            return SimulatedConnections(self, *arguments)

        seams = node.Seams(monotonic_clock, float, None, None, wall_clock, make_connections)
        cluster_node = node.ClusterNode(options, name, self, do_nothing, do_nothing, number, seams)
        task_options = SingletonTaskOptions("share-calls", None, None, 60.0, 0.0, "number", 40, 0.5)
        cluster_node.configure({"calls": task_options})
        cluster_node.share_calls("calls", task_options, lambda: 2.5 + 10.0 * number)
        maintenance_options = MaintenanceOptions(1, 0.9, False, 0.0, 1, 1.0, 20.0, 60.0, "keep", None, None)
        measurement = ServerMeasurement(2, 0.25, 1.0, False, 7)
        self.coordinators[name] = MaintenanceCoordinator(
            cluster_node,
            maintenance_options,
            lambda: measurement,
            lambda: self.drained.append(name),
            do_nothing,
        )
        self.nodes[name] = cluster_node
        if cluster_node.bootstrap is not None and cluster_node.bootstrap.complete_if_alone():
            cluster_node.complete_bootstrap()

    def stop(self, name: str) -> None:
        """Remove a server without notice, as if its process were killed."""
        del self.nodes[name]
        del self.connections[self.address(name)]

    def run(self, seconds: float) -> None:
        """Advance the virtual time, deliver messages at each step and tick each node every ten steps."""
        for _ in range(round(seconds / self.STEP_S)):
            self.step += 1
            self.deliver()
            for name in self.NAMES:
                if name in self.nodes and (self.step - int(name[1:])) % self.STEPS_PER_TICK == 0:
                    self.nodes[name].tick()

    def deliver(self) -> None:
        """Deliver what was sent in the last step, sorted so that no set's iteration order has an effect."""
        deliveries = sorted(self.in_flight, key=lambda delivery: delivery[:2])
        self.in_flight = []
        for sender, receiver, data in deliveries:
            self.sent.append(data)
            receiving_end = self.connections.get(receiver)
            if receiving_end is not None and frozenset((sender, receiver)) not in self.blocked_links:
                receiving_end.receive(data, sender)

    def leader(self) -> str:
        """Return the name of the only node that considers itself the leader."""
        (name,) = [name for name, cluster_node in self.nodes.items() if cluster_node.current_leader() == name]
        return name

    # The scheduler's methods that a node calls.

    def spawn(self, *arguments: Any, **keywords: Any) -> None:
        """Start no task: `run` ticks the nodes."""

    def sleep(self, seconds: float) -> None:
        """Advance the whole cluster."""
        self.run(seconds)


class SimulatedConnections:
    """Replaces the peer connections of one server."""

    def __init__(self, cluster: SimulatedCluster, *arguments: Any) -> None:
        _, local_endpoint, *_ = arguments
        cluster_name, self.address, self.identity, self.on_message = local_endpoint
        self.cluster = cluster
        self.cluster_name = cluster_name
        self.decoder = codec.Decoder(cluster_name)
        self.open_connections = ()
        cluster.connections[self.address] = self

    def send(self, receiver: str, kind: str, fields: list[Any]) -> None:
        """Encode a message and queue it for the next step."""
        data = codec.encode(self.cluster_name, *self.identity(), kind, fields)
        self.cluster.in_flight.append((self.address, receiver, data))

    def receive(self, data: bytes, sender: str) -> None:
        """Decode a message and pass it to the node."""
        (message,) = self.decoder.feed(data)
        self.on_message(message, sender)

    def tick(self) -> None:
        """Do nothing: no message is queued here."""

    def close_now(self) -> None:
        """Do nothing: no connection is open."""


def do_nothing(*arguments: Any, **keywords: Any) -> None:
    """Replaces a log or a counter function."""


def simulate_cluster() -> list[bytes]:
    """Return every message that four servers send in a fixed scenario.

    They bootstrap a cluster, lose and regain members, run maintenance, transfer leadership and let one leave.
    """
    cluster = SimulatedCluster()
    cluster.run(12.0)
    first_leader = cluster.leader()
    followers = [name for name in cluster.VOTERS if name != first_leader]
    # The two followers cannot reach each other directly: they are probed through other members.
    cluster.blocked_links = {frozenset(cluster.address(name) for name in followers)}
    cluster.run(10.0)
    cluster.blocked_links = set()
    cluster.run(5.0)
    # One follower is killed and restarts without its state.
    restarted = followers[0]
    cluster.stop(restarted)
    cluster.run(12.0)
    cluster.start(restarted)
    cluster.run(12.0)
    # Servers are taken out for maintenance.
    coordinator = cluster.coordinators["n3"]
    assert coordinator.request_maintenance(["n3"], "kernel", True, 60.0) is None
    cluster.run(3.0)
    assert cluster.drained == ["n3"]
    coordinator.wait_for_maintenance()
    cluster.run(1.0)
    cluster.stop("n3")
    cluster.run(12.0)
    cluster.start("n3")
    cluster.run(8.0)
    coordinator = cluster.coordinators["n3"]
    assert coordinator.pause_grants(True) is None
    assert coordinator.request_maintenance(["n3"], "disk", False, 30.0) is None
    assert coordinator.cancel_maintenance(["n3"]) is None
    assert coordinator.pause_grants(False) is None
    cluster.run(1.0)
    # The leader transfers its leadership, and one member leaves.
    assert cluster.nodes[cluster.leader()].leadership_transfer.begin() is None
    cluster.run(4.0)
    cluster.nodes["n3"].leave()
    cluster.nodes["n3"].depart()
    cluster.run(2.0)
    return cluster.sent


def simulate_voters() -> tuple[list[bytes], dict[str, Any]]:
    """Return every message that three voters exchange, and the last state that each persisted.

    The log contains every kind of command.
    """
    founders = (("a", 1), ("b", 1), ("c", 1))
    voters = {
        name: RaftNode(name, 1, 1.0, SeededRandom(number), 0.0, None, founders)
        for number, name in enumerate("abc", 1)
    }
    commands = [
        ("grant", "backup", "a", 1),
        ("turn", ("n7", 1, "kernel", True, 60.0, 1, 0, 3, 0, False, False)),
        ("turn", ("n8", 2, "disk", False, 90.0, 0, 0, 0, 2, False, True)),
        ("hold", True),
        ("dismiss", "c"),
        ("turned", "n8"),
        ("grant", "calls", "b", 1),
        ("drop", "backup"),
        ("epoch", 1 << 28),
        ("admit", "c", 5),
    ]
    sent: list[bytes] = []
    persisted: dict[str, Any] = {}

    def apply_effects(sender: str, effects: list[Any]) -> None:
        for effect in effects:
            if isinstance(effect, Persist):
                persisted[sender] = effect[0]
            elif isinstance(effect, Send):
                receiver, kind, fields = effect
                data = codec.encode(CLUSTER_NAME, sender, 1, kind, fields)
                sent.append(data)
                ((_, _, kind, fields),) = codec.Decoder(CLUSTER_NAME).feed(data)
                apply_effects(receiver, voters[receiver].receive(now, sender, kind, fields))

    # Voter "c" restarts once without its persisted state.
    for step in range(64):
        now = 0.125 * step
        if step == 40:
            voters["c"] = RaftNode("c", 5, 1.0, SeededRandom(9), now)
        for name, voter in voters.items():
            if voter.holds_lease(now) and step % 2 == 0 and commands and voter.propose(now, commands[0]):
                del commands[0]
            apply_effects(name, voter.tick(now))
    assert not commands
    (leader,) = [name for name, voter in voters.items() if voter.holds_lease(now)]
    apply_effects(
        leader, voters[leader].transfer_leadership(now, next(name for name in "ab" if name != leader))
    )
    return sent, persisted


def listen_on_any_port(scheduler: Scheduler, address: tuple[str, int], *arguments: Any) -> Listener:
    """Return a listener on a free port, so that no other process can hold it; nobody connects to it here."""
    return Listener(scheduler, (address[0], 0), *arguments)


def capture_hello() -> bytes:
    """Return the first bytes that are sent on a peer connection."""
    scheduler = Scheduler()
    local_socket, remote_socket = socket.socketpair()
    local_socket.setblocking(False)

    def dial(*arguments: Any) -> Stream:
        return Stream(scheduler, local_socket)

    local_endpoint = peer_connections.LocalEndpoint(
        CLUSTER_NAME, "127.77.0.9:4391", lambda: ("n1", 17), do_nothing
    )
    with mock.patch.object(peer_connections, "Listener", listen_on_any_port):
        connections = peer_connections.PeerConnections(
            scheduler, local_endpoint, SeededRandom(1), do_nothing, dial
        )
    connections.send("127.77.0.9:4392", "ping", [1, []])
    scheduler.call_later(0.2, scheduler.stop)
    scheduler.run()
    connections.close_now()
    remote_socket.settimeout(5.0)
    data = remote_socket.recv(4096)
    remote_socket.close()
    return data


def message_kind(data: bytes) -> str:
    """Return the kind of an encoded message."""
    ((_, _, kind, _),) = codec.Decoder(CLUSTER_NAME).feed(data)
    return kind


def summarize(messages: list[bytes]) -> dict[str, Any]:
    """Return the number of messages of each kind, and a digest of all messages in their order."""
    digest = hashlib.sha256()
    counts: dict[str, int] = {}
    for data in messages:
        digest.update(data)
        kind = message_kind(data)
        counts[kind] = counts.get(kind, 0) + 1
    return {"counts": dict(sorted(counts.items())), "sha256": digest.hexdigest()}


def first_of_each_kind(messages: list[bytes], limit: int) -> list[bytes]:
    """Return the first messages of each kind, at most `limit` of a kind, in their order."""
    counts: dict[str, int] = {}
    chosen = []
    for data in messages:
        kind = message_kind(data)
        counts[kind] = counts.get(kind, 0) + 1
        if counts[kind] <= limit:
            chosen.append(data)
    return chosen


MESSAGE_FILES = ("fleet.json", "owners.json", "hello.json")
MESSAGES = [
    pytest.param(message, id=f"{file[:-5]}-{number}-{message['kind']}")
    for file in MESSAGE_FILES
    for number, message in enumerate(load_golden(f"wire/{file}")["messages"])
]
MESSAGE_KINDS = {
    *("ping", "ask", "ack", "heard", "nack", "sync", "news"),
    *("sound", "would", "vote", "voted", "stand", "append", "snapshot", "appended"),
    *("blank", "facts", "need", "share"),
    *("turn-report", "turn-word", "turn-ask", "turn-back", "turn-hold"),
    "hello",
}


@pytest.mark.parametrize("message", MESSAGES)
def test_golden_message_decodes_and_encodes_unchanged(message: dict[str, Any]) -> None:
    data = bytes.fromhex(message["bytes"])
    decoded = codec.Decoder(CLUSTER_NAME).feed(data)
    assert to_positional(decoded) == [[message[key] for key in ("sender", "life", "kind", "fields")]]
    assert codec.encode(CLUSTER_NAME, *decoded[0]) == data


def test_golden_messages_decode_from_one_stream() -> None:
    recorded = [message for file in MESSAGE_FILES for message in load_golden(f"wire/{file}")["messages"]]
    stream = b"".join(bytes.fromhex(message["bytes"]) for message in recorded)
    decoder = codec.Decoder(CLUSTER_NAME)
    decoded = []
    for offset in range(0, len(stream), 1000):
        decoded += decoder.feed(stream[offset : offset + 1000])
    assert [message[2] for message in decoded] == [message["kind"] for message in recorded]


def test_golden_messages_cover_every_kind() -> None:
    recorded = {
        message["kind"] for file in MESSAGE_FILES for message in load_golden(f"wire/{file}")["messages"]
    }
    assert recorded == MESSAGE_KINDS


# The earlier version's name of a reason -> its present name.
DECODE_FAILURES = {"damaged": "checksum", "unreadable": "malformed", "other_fleet": "other_cluster"}


@pytest.mark.parametrize("case", load_golden("wire/faults.json"), ids=lambda case: case["why"])
def test_invalid_golden_message_is_rejected_for_the_same_reason(case: dict[str, str]) -> None:
    decoded = codec.Decoder(CLUSTER_NAME).feed(bytes.fromhex(case["bytes"]))
    (error,) = decoded
    assert isinstance(error, codec.DecodeError)
    assert error.reason.value == DECODE_FAILURES.get(case["why"], case["why"])


def test_simulated_servers_send_the_golden_messages() -> None:
    sent = simulate_cluster()
    recorded = load_golden("wire/fleet.json")
    assert [data.hex() for data in first_of_each_kind(sent, 3)] == [
        message["bytes"] for message in recorded["messages"]
    ]
    assert summarize(sent) == recorded["all"]


def test_simulated_voters_send_the_golden_messages() -> None:
    sent, _ = simulate_voters()
    recorded = load_golden("wire/owners.json")
    assert [data.hex() for data in sent] == [message["bytes"] for message in recorded["messages"]]


def test_peer_connection_begins_with_the_golden_hello() -> None:
    recorded = load_golden("wire/hello.json")["messages"]
    assert capture_hello().hex() == "".join(message["bytes"] for message in recorded)


# ---- vote files

VOTES = load_golden("vote/votes.json")


def make_durable_state(recorded: list[Any]) -> DurableState:
    """Build a voter's state from its recorded values, which are listed by position."""
    term, vote, snapshot_index, snapshot_term, cluster_state, rows, state_lost = from_positional(recorded)
    entries = tuple(LogEntry(*entry) for entry in rows)
    return DurableState(
        term, vote, snapshot_index, snapshot_term, ClusterState(*cluster_state), entries, state_lost
    )


@pytest.mark.parametrize("name", sorted(VOTES["good"]))
def test_golden_vote_file_decodes_and_encodes_unchanged(name: str, tmp_path: pathlib.Path) -> None:
    case = VOTES["good"][name]
    shutil.copytree(GOLDEN_FOLDER / "vote" / name, tmp_path / "kept")
    folder = vote_file.VoteDirectory(tmp_path / "kept")
    folder.lock()
    data = folder.read()
    assert data == (GOLDEN_FOLDER / "vote" / name / "vote").read_bytes()
    decoded = vote_file.decode(data, *case["of"])
    incarnation, durable_state = decoded
    assert [incarnation, to_positional(durable_state)] == [case["life"], case["kept"]]
    assert durable_state == make_durable_state(case["kept"])
    assert vote_file.encode(*case["of"], incarnation, durable_state) == data
    folder.write(vote_file.encode(*case["of"], incarnation, make_durable_state(case["kept"])))
    folder.unlock()
    assert sorted(path.name for path in (tmp_path / "kept").iterdir()) == ["lock", "vote"]
    assert (tmp_path / "kept" / "vote").read_bytes() == data


@pytest.mark.parametrize("name", sorted(VOTES["refused"]))
def test_invalid_golden_vote_file_is_rejected_with_the_same_message(name: str) -> None:
    case = VOTES["refused"][name]
    data = (GOLDEN_FOLDER / "vote" / name / "vote").read_bytes()
    with pytest.raises(vote_file.VoteFileError) as caught:
        vote_file.decode(data, *case["of"])
    assert str(caught.value) == case["why"]


def test_simulated_voters_persist_the_golden_vote_files() -> None:
    _, persisted = simulate_voters()
    for name in sorted(persisted):
        case = VOTES["good"][f"voter_{name}"]
        recorded = (GOLDEN_FOLDER / "vote" / f"voter_{name}" / "vote").read_bytes()
        assert vote_file.encode(*case["of"], case["life"], persisted[name]) == recorded


def test_voter_restarts_from_the_golden_vote_file() -> None:
    case = VOTES["good"]["voter_b"]
    data = (GOLDEN_FOLDER / "vote" / "voter_b" / "vote").read_bytes()
    incarnation, durable_state = vote_file.decode(data, *case["of"])
    voter = RaftNode("b", incarnation, 1.0, SeededRandom(2), 100.0, durable_state)
    responses = []
    for kind, fields in case["asked"]:
        for effect in voter.receive(110.0, "a", kind, fields):
            if isinstance(effect, Send):
                responses.append(codec.encode(CLUSTER_NAME, "b", incarnation, effect[1], effect[2]).hex())
    assert responses == case["answers"]


# ---- the result store

STORE = load_golden("store/store.json")
WRITTEN_AT = ClockReading(4_000_000_000.0, 1000.0, "first boot")
REBOOTED_AT = ClockReading(4_000_000_300.0, 50.0, "second boot")
READ_AT = ClockReading(4_000_000_400.0, 150.0, "second boot")


class StoreDriver:
    """A result store on a folder, with clocks that a test advances."""

    retry = 1.0

    def __init__(self, folder: pathlib.Path, clock_reading: ClockReading) -> None:
        self.wall_clock, self.boot_clock, self.boot_id = clock_reading
        self.logged: list[Any] = []
        self.directory = StoreDirectory(str(folder))
        assert self.directory.prepare()
        limits = StoreLimits(1_000_000, 1500, 1024, 65536)
        environment = StoreEnvironment(
            self.directory, InlineWorker(), self.clock_reading, do_nothing, self.log
        )
        self.store = ResultStore(environment, StoreSettings(limits, self.retry, 3600.0))
        self.store.collect()

    def clock_reading(self) -> ClockReading:
        """Return the simulated clocks, which the store reads."""
        return ClockReading(self.wall_clock, self.boot_clock, self.boot_id)

    def log(self, event: str, fields: dict[str, Any] | None = None, **keywords: Any) -> None:
        """Record a log event under the name that it had in the earlier version."""
        event = {"store_torn_tail_cut": "store_torn"}.get(event, event)
        self.logged.append([event, to_positional(fields or {})])

    def advance_clocks(self, seconds: float) -> None:
        """Move both clocks forward."""
        self.wall_clock += seconds
        self.boot_clock += seconds

    def start_execution(self, key: str, request_id: int, window: float = 86_400.0) -> None:
        """Log the intent of an execution. `window` is the time in seconds for which its key is kept."""
        digest = self.store.key_digest("book", key)
        self.store.log_intent(request_id, digest, window, request_id.to_bytes(8, "big"), "book")
        self.store.flush()
        assert self.store.collect() == [("intent_durable", request_id, None)]

    def finish(self, key: str, request_id: int, entry_input: int, body: bytes | None = None) -> None:
        """Log the end of an execution. `entry_input` is one of the inputs in `entry_states`."""
        self.store.end_execution(request_id, self.store.key_digest("book", key), entry_input, body)
        self.store.flush()
        self.store.collect()

    def run_maintenance(self, sweeps: int) -> None:
        """Run the background work, which includes a snapshot."""
        for _ in range(sweeps):
            self.advance_clocks(0.125)
            self.store.maintain()
            self.store.collect()

    def look_up_result(self, key: str) -> list[Any]:
        """Return the outcome for a repeated request, under its earlier name, and the stored result if any."""
        lookup = self.store.look_up(self.store.key_digest("book", key), 0.0)
        recorded_outcome = {"execute": "run", "coalesce": "join", "fail": "write_off"}.get(
            lookup.outcome, str(lookup.outcome)
        )
        if recorded_outcome != "answer":
            return [recorded_outcome, None]
        body = self.store.fetch_result(99, lookup)
        if body is None:
            ((event, request_id, body),) = self.store.collect()
            assert (event, request_id) == ("result_read", 99)
        return [recorded_outcome, to_positional(body)]


def write_store(folder: pathlib.Path) -> None:
    """Write a store in two runs of a server: the first is killed, then the machine reboots."""
    driver = StoreDriver(folder, WRITTEN_AT)
    for number in range(1, 13):
        key = f"done {number}"
        driver.start_execution(key, number)
        body = bytes(range(256)) * (number % 3) + b"result of %d" % number
        driver.finish(key, number, entry_states.SUCCEEDED, body)
        driver.advance_clocks(0.25)
    driver.start_execution("done without a byte", 13)
    driver.finish("done without a byte", 13, entry_states.SUCCEEDED, b"")
    driver.start_execution("failed", 14)
    driver.finish("failed", 14, entry_states.ENDED_WITHOUT_RESULT)
    driver.start_execution("never sent", 15)
    driver.finish("never sent", 15, entry_states.NEVER_STARTED)
    driver.start_execution("of a short window", 16, 60.0)
    driver.finish("of a short window", 16, entry_states.SUCCEEDED, b"soon over")
    driver.start_execution("running at the snapshot", 17)
    driver.start_execution("told after the restart", 18)
    driver.run_maintenance(80)
    driver.start_execution("done after the snapshot", 19)
    driver.finish("done after the snapshot", 19, entry_states.SUCCEEDED, b"behind it")
    driver.start_execution("running at the end", 20)
    driver.directory.release()
    driver = StoreDriver(folder, REBOOTED_AT)
    assert driver.store.end_unfinished((18).to_bytes(8, "big"), entry_states.SUCCEEDED, b"late")
    driver.store.flush()
    driver.store.collect()
    driver.start_execution("last", 21)
    driver.finish("last", 21, entry_states.SUCCEEDED, b"the last frame")
    driver.directory.release()


def describe_store(folder: pathlib.Path) -> dict[str, Any]:
    """Return what opening a store folder finds, without changing the folder."""
    opened = open_store(StoreDirectory(str(folder)), READ_AT, False)
    recovered = opened.recovered
    rows = [
        to_positional(row)
        for number in range(len(recovered.index.shards))
        for row in recovered.index.shard_rows(number)
    ]
    return {
        "key": to_positional(opened.key),
        "rows": sorted(rows, key=lambda row: row[0]["hex"]),
        "segments": [
            [segment.number, segment.size, segment.longest_until] for segment in recovered.segments.values()
        ],
        "sequence": recovered.sequence,
        "unsettled": sorted(to_positional(recovered.unfinished), key=lambda row: row[0]["hex"]),
        "stamp": to_positional(recovered.timestamp),
        "unsure": recovered.in_doubt_until,
        "longest": recovered.longest_window,
        "notes": [[event, to_positional(fields)] for event, fields in recovered.notes],
        "snapshot": [opened.covered, opened.snapshot_size, to_positional(opened.position)],
    }


def copy_golden_store(name: str, tmp_path: pathlib.Path) -> pathlib.Path:
    """Copy a recorded store to a temporary folder, as opening a store changes it."""
    shutil.copytree(GOLDEN_FOLDER / "store" / name, tmp_path / "kept")
    return tmp_path / "kept"


@pytest.mark.parametrize("name", sorted(STORE))
def test_golden_store_is_opened_with_the_same_content(name: str, tmp_path: pathlib.Path) -> None:
    assert describe_store(copy_golden_store(name, tmp_path)) == STORE[name]["opened"]


@pytest.mark.parametrize("name", sorted(STORE))
def test_golden_store_answers_repeated_requests_the_same(name: str, tmp_path: pathlib.Path) -> None:
    driver = StoreDriver(copy_golden_store(name, tmp_path), READ_AT)
    digests = {key: driver.store.key_digest("book", key).hex() for key in STORE[name]["digests"]}
    assert digests == STORE[name]["digests"]
    lookups = {key: driver.look_up_result(key) for key in STORE[name]["repeats"]}
    assert lookups == STORE[name]["repeats"]
    assert driver.logged == STORE[name]["logged"]
    driver.directory.release()


@pytest.mark.parametrize("name", sorted(STORE))
def test_store_commands_print_the_same_for_the_golden_store(
    name: str, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    folder = copy_golden_store(name, tmp_path)
    for command, recorded in STORE[name]["commands"].items():
        exit_code = store_commands.main(command, str(folder))
        stdout, stderr = capsys.readouterr()
        assert [exit_code, stdout, stderr] == recorded


def test_store_writes_the_golden_files(tmp_path: pathlib.Path) -> None:
    shutil.copy(GOLDEN_FOLDER / "store" / "whole" / "key", tmp_path / "key")
    write_store(tmp_path)
    recorded = {path.name: path.read_bytes() for path in (GOLDEN_FOLDER / "store" / "whole").iterdir()}
    assert {path.name: path.read_bytes() for path in tmp_path.iterdir()} == recorded


def test_torn_golden_store_lacks_only_the_end_of_its_last_frame() -> None:
    whole = {path.name: path.read_bytes() for path in (GOLDEN_FOLDER / "store" / "whole").iterdir()}
    torn = {path.name: path.read_bytes() for path in (GOLDEN_FOLDER / "store" / "torn").iterdir()}
    assert whole.keys() == torn.keys()
    (changed,) = [name for name in whole if whole[name] != torn[name]]
    assert changed == max(name for name in whole if name.endswith(".log"))
    assert whole[changed].startswith(torn[changed])


RECORDS = load_golden("store/records.json")
RECORD_TYPES = {
    "head": records.SegmentHead,
    "intent": records.IntentRecord,
    "result": records.ResultRecord,
    "failed": records.FailedRecord,
    "unsent": records.UnsentRecord,
    "unsure": records.InDoubtRecord,
}


def make_record(name: str, fields: list[Any]) -> Any:
    """Build a store record of a named type from its recorded fields."""
    if name == "stamp":
        wall_time, clock_reading = from_positional(fields)
        return StoreTimestamp(wall_time, ClockReading(*clock_reading))
    return RECORD_TYPES[name](*from_positional(fields))


@pytest.mark.parametrize("case", RECORDS["records"], ids=lambda case: case["name"])
def test_golden_record_decodes_and_encodes_unchanged(case: dict[str, Any]) -> None:
    data = bytes.fromhex(case["bytes"])
    record = make_record(case["name"], case["fields"])
    assert records.encode_record(record) == data
    assert records.decode_records(data, "first boot") == [(0, len(data), record)]
    assert to_positional(record) == case["fields"]


def test_golden_records_cover_every_type() -> None:
    assert {case["name"] for case in RECORDS["records"]} == {*RECORD_TYPES, "stamp"}


def test_golden_result_record_decodes_singly_and_is_rejected_when_damaged() -> None:
    (case,) = [case for case in RECORDS["records"] if case["name"] == "result"]
    data = bytes.fromhex(case["bytes"])
    digest, until, body, _ = from_positional(case["fields"])
    assert records.decode_single(data) == records.make_result(digest, until, body)
    assert records.decode_single(data.replace(body, bytes(len(body)))) is None


def test_record_of_a_newer_type_is_skipped() -> None:
    data = bytes.fromhex(RECORDS["newer"])
    ((_, _, record),) = records.decode_records(data)
    assert to_positional(record) == [99]


def test_golden_frame_decodes_and_encodes_unchanged() -> None:
    case = RECORDS["frame"]
    data = bytes.fromhex(case["bytes"])
    payload = bytes.fromhex(case["payload"])
    assert records.encode_frame(case["segment"], case["sequence"], payload) == data
    assert to_positional(records.read_frame(data, 0, case["segment"])) == [
        case["offset"],
        case["sequence"],
        {"hex": case["payload"]},
        len(data),
    ]
    assert records.read_frame(data, 0, case["segment"] + 1) is None


def test_store_file_magic_bytes_are_unchanged() -> None:
    assert [records.LOG_MAGIC.hex(), snapshot.SNAPSHOT_MAGIC.hex()] == RECORDS["magics"]


def test_golden_snapshot_decodes_and_encodes_unchanged() -> None:
    case = RECORDS["snapshot"]
    data = bytes.fromhex(case["bytes"])
    decoded = snapshot.decode_snapshot(data)
    *fields, index = decoded
    assert to_positional(fields) == case["fields"]
    rows = [row for number in range(len(index.shards)) for row in index.shard_rows(number)]
    assert to_positional(rows) == case["rows"]
    rebuilt = Index()
    for row in case["rows"]:
        rebuilt.put(*from_positional(row))
    shards = [
        snapshot.encode_shard(number, rebuilt.dump_shard(number))
        for number in range(len(rebuilt.shards))
        if rebuilt.dump_shard(number) is not None
    ]
    written = snapshot.encode_head(decoded) + b"".join(shards) + snapshot.encode_end(len(shards))
    assert written == data


# ---- the control socket

REQUESTS = load_golden("control/requests.json")
REQUEST_TYPES = {
    "status": requests.StatusRequest,
    "hold": requests.HoldLevelRequest,
    "free": requests.ReleaseLevelRequest,
    "metrics": requests.MetricsRequest,
    "fleet": requests.ClusterRequest,
    "turns": requests.MaintenanceRequest,
    "fenced": requests.FencedRequest,
}


def make_request(name: str, values: list[Any]) -> Any:
    """Build a control request of a named type from its recorded values."""
    if name == "fenced":
        *fence, (inner, inner_values) = values
        return requests.FencedRequest(*fence, make_request(inner, inner_values))
    return REQUEST_TYPES[name](*from_positional(values))


@pytest.mark.parametrize("case", REQUESTS["good"], ids=lambda case: case["line"])
def test_golden_control_request_parses_unchanged(case: dict[str, Any]) -> None:
    parsed = requests.parse_request(case["line"].encode())
    assert type(parsed) is REQUEST_TYPES[case["name"]]
    assert parsed == make_request(case["name"], case["values"])
    if case["name"] != "fenced":
        assert to_positional(parsed) == case["values"]


@pytest.mark.parametrize("case", REQUESTS["faulty"], ids=lambda case: case["line"][:60])
def test_invalid_control_request_is_rejected_with_the_golden_answer(case: dict[str, Any]) -> None:
    with pytest.raises(InvalidRequestError) as caught:
        requests.parse_request(case["line"].encode("latin-1"))
    assert caught.type is InvalidRequestError
    assert answers.encode_rejection(caught.value.reason).decode() == case["answer"]


def test_control_answers_are_encoded_unchanged() -> None:
    for case in REQUESTS["answers"]:
        if case["good"]:
            assert answers.encode_success(**case["words"]).decode() == case["bytes"]
        else:
            assert answers.encode_rejection(case["why"]).decode() == case["bytes"]


def test_control_request_limits_are_unchanged() -> None:
    bounds = [requests.MAX_REQUEST_BYTES, requests.MAX_LEVEL_HOLD_S, requests.MAX_MAINTENANCE_S]
    assert bounds == REQUESTS["bounds"]


@pytest.mark.parametrize("case", REQUESTS["no_part"], ids=lambda case: case["line"])
def test_server_without_the_component_gives_the_golden_answer(case: dict[str, str]) -> None:
    component = control_component.Component(SimpleNamespace(components={}), None)
    answer = component.reply(requests.parse_request(case["line"].encode()))
    assert answer.decode() == case["answer"]


SESSION = load_golden("control/session.json")
OPERATOR_CONFIG = """
[control]
socket = {folder}/c.sock
[metrics]
file = {folder}/metrics.prom
every = 1 s
[level slim]
rank = 1
enter = cores.busy > 99 % for 60 s
leave = cores.busy < 50 %
turn_back = quote
[fleet]
name = lab
listen = {host}:{port}
seeds = {host}:{port}
voters = lab
lease = 1 s
probe = 500 ms
[turns]
most = 1
[duty beat]
do = run
command = true
every = 1 h
fenced = clock
patience = 100 ms
[duty calls]
do = share-calls
cap = 50
round = 100 ms
"""


def json_shape(value: Any) -> Any:
    """Return a JSON value with type names for its values. A list has the shape of its first element."""
    if isinstance(value, dict):
        return {key: json_shape(item) for key, item in value.items()}
    if isinstance(value, list):
        return [json_shape(item) for item in value[:1]]
    return "null" if value is None else type(value).__name__


class ControlClient:
    """Sends request lines to the control socket of a running server."""

    def __init__(self, path: str) -> None:
        self.path = path

    async def ask(self, line: str) -> str:
        """Send one request line and return the answer line."""
        reader, writer = await asyncio.open_unix_connection(self.path, limit=1 << 20)
        writer.write(line.encode() + b"\n")
        answer = await asyncio.wait_for(reader.readline(), 10.0)
        writer.close()
        return answer.decode()

    async def status(self) -> dict[str, Any]:
        """Return the server's status."""
        return json.loads(await self.ask('{"do":"status"}'))["status"]


def is_settled(status: dict[str, Any]) -> bool:
    """Return whether the status has a value in every optional field that the session can fill."""
    cluster_status = status["fleet"]
    return (
        cluster_status["owner"] == "lab"
        and cluster_status["split"] is not None
        and cluster_status["share"]["from"] == "sure"
        and len(cluster_status["owners"]) == 2
        and cluster_status["lease_left_s"] is not None
        and cluster_status["duties"]["beat"]["last"] is not None
        and len(status["turns"]["rows"]) == 1
        and status["turns"]["rows"][0]["for_s"] is not None
    )


async def run_session(folder: pathlib.Path, lines: list[str]) -> dict[str, Any]:
    """Run a server with all components; return its answers, its status and its metrics."""
    lane = restarts.Lane(folder, 1, 1, 0)
    await lane.set_up()
    host, port = reserve_address()
    operator_config = OPERATOR_CONFIG.format(folder=folder, host=host, port=port)
    lane.settings.write_text(lane.settings.read_text() + operator_config)
    await lane.start()
    client = ControlClient(str(folder / "c.sock"))
    gateway = restarts.Gateway(lane.address, 1, lane)
    lane.gateways = [gateway]
    try:
        for number in range(400):
            submission = await gateway.once(f"k{number}", "book", 1.0)
            if submission is not None and submission.outcome == "delivered":
                break
            await asyncio.sleep(0.02)
        for _ in range(400):
            status = await client.status()
            if status["fleet"]["lease_left_s"]:
                break
            await asyncio.sleep(0.02)
        *before, last = lines
        answers = [await client.ask(line) for line in before]
        for _ in range(400):
            status = await client.status()
            if is_settled(status):
                break
            await asyncio.sleep(0.02)
        metrics = json.loads(await client.ask('{"do":"metrics"}'))
        answers.append(await client.ask(last))
    finally:
        gateway.close()
        if lane.process.returncode is None:
            lane.process.terminate()
        await asyncio.wait_for(lane.process.wait(), 20.0)
        for service in lane.servers:
            service.close()
    return {"answers": answers, "status": status, "metrics": metrics}


@pytest.fixture(scope="module")
def session(tmp_path_factory: pytest.TempPathFactory) -> dict[str, Any]:
    """One session of a running server, shared by the tests below."""
    lines = [line for line, _ in SESSION["answers"]]
    return asyncio.run(run_session(tmp_path_factory.mktemp("s") / "s", lines))


def test_running_server_gives_the_golden_answers(session: dict[str, Any]) -> None:
    lines = [line for line, _ in SESSION["answers"]]
    assert [list(pair) for pair in zip(lines, session["answers"], strict=True)] == SESSION["answers"]


def test_status_keys_and_types_are_unchanged(session: dict[str, Any]) -> None:
    status_shape = json_shape(session["status"])
    for group in SESSION["growing"]:
        status_shape.pop(group)
    # The session holds the level and releases it at once; its time appears only if a sweep ran in between.
    assert status_shape["level"].pop("in_slim_s", "float") == "float"
    assert status_shape == SESSION["status"]


# The recorded session has the counters' names from before they were renamed, which `docs/on-call.md` lists.
RENAMED_COUNTERS = {
    "control.bad": "control.invalid_request",
    "control.fleet": "control.cluster",
    "control.free": "control.release_level",
    "control.hold": "control.hold_level",
    "control.turns": "control.maintenance",
}


def with_current_names(group: str, counts: dict[str, Any]) -> dict[str, Any]:
    """Return the counts of a group under the present names of its counters."""
    return {
        RENAMED_COUNTERS.get(f"{group}.{name}", f"{group}.{name}"): count for name, count in counts.items()
    }


def test_status_counter_names_are_unchanged(session: dict[str, Any]) -> None:
    """A counter appears with its first event, so only the counters that every run reaches are required."""
    status_shape = json_shape(session["status"])
    for group, recorded in SESSION["growing"].items():
        if group == "counters":
            for name, counts in recorded.items():
                current_counts = {f"{name}.{key}": count for key, count in status_shape[group][name].items()}
                assert with_current_names(name, counts).items() <= current_counts.items()
        else:
            assert recorded.items() <= status_shape[group].items()


def test_metric_names_and_types_are_unchanged(session: dict[str, Any]) -> None:
    answer = session["metrics"]
    assert json_shape(answer) == {"good": "bool", "text": "str"}
    lines = answer["text"].splitlines()
    assert sorted({line for line in lines if line.startswith("# TYPE")}) == SESSION["metrics"]

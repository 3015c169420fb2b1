"""The file of a voter's durable state: its content, its owner and its directory's lock."""

import pytest

from valeturn.cluster import vote_file
from valeturn.cluster.raft_log import DurableState, LogEntry
from valeturn.cluster.replicated_state import ClusterState

STATE = DurableState(
    3, "n1", 2, 1, ClusterState((("n1", 5),), (("d", "n1", 5, 7),), 7), (LogEntry(3, ("begin",)),), False
)


@pytest.fixture
def data():
    return vote_file.encode("lab", "n1", "127.0.0.1:1", 5, STATE)


def test_vote_is_read_back_as_it_was_written(data):
    assert vote_file.decode(data, "lab", "n1", "127.0.0.1:1") == (5, STATE)


@pytest.mark.parametrize(
    ("cluster", "name", "address"),
    [
        ("other", "n1", "127.0.0.1:1"),
        ("lab", "n2", "127.0.0.1:1"),
        ("lab", "n1", "127.0.0.1:2"),
    ],
)
def test_vote_of_other_cluster_server_or_address_is_rejected(data, cluster, name, address):
    with pytest.raises(vote_file.ForeignVoteFileError, match="belongs to"):
        vote_file.decode(data, cluster, name, address)


def test_vote_with_any_byte_damaged_is_rejected(data):
    for offset in range(len(data)):
        damaged = data[:offset] + bytes((data[offset] ^ 1,)) + data[offset + 1 :]
        with pytest.raises(vote_file.DamagedVoteFileError):
            vote_file.decode(damaged, "lab", "n1", "127.0.0.1:1")


def test_vote_directory_is_locked_and_keeps_what_was_written(data, tmp_path):
    directory = vote_file.VoteDirectory(tmp_path / "v")
    other = vote_file.VoteDirectory(tmp_path / "v")
    directory.lock()
    with pytest.raises(vote_file.VoteDirectoryInUseError, match="another process"):
        other.lock()
    assert directory.read() is None
    directory.write(data)
    assert directory.read() == data
    directory.unlock()
    other.lock()
    other.unlock()

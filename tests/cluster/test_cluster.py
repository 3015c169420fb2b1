"""Fencing tokens in the model checker, and the modules loaded by a server without a cluster."""

import pathlib
import subprocess
import sys

import pytest

from valeturn.cluster.raft import RaftNode
from valeturn.cluster.replicated_state import ClusterState
from valeturn.lab import model_checker

REPOSITORY = pathlib.Path(__file__).parents[2]


class AcceptingSink(model_checker.Sink):
    @staticmethod
    def accepts(seen, fence):
        return True


def state_with_late_effect(make_node=RaftNode):
    """Return a state in which an effect of a is still in flight, while b leads and holds the task."""
    state = model_checker.state_with_leader(make_node)

    def deliver_all(state, unreachable=()):
        for _ in range(60):
            ready = [
                index
                for index, message in enumerate(state.flying)
                if message[0] != "sink" and not {message[0], message[1]} & set(unreachable)
            ]
            if not ready:
                break
            state, violation = model_checker.apply_action(state, ("deliver", ready[0], ""), make_node)
            assert violation is None
        return state

    for action in (("propose", "a", ""), ("time", 0, "")):
        state = deliver_all(model_checker.apply_action(state, action, make_node)[0])
        state = deliver_all(model_checker.apply_action(state, ("tick", "a", ""), make_node)[0])
    state, _ = model_checker.apply_action(state, ("effect", "a", ""), make_node)
    for _ in range(4):
        state, _ = model_checker.apply_action(state, ("time", 0, ""), make_node)
    for _ in range(6):
        state = deliver_all(
            model_checker.apply_action(state, ("tick", "b", ""), make_node)[0], unreachable="a"
        )
    state = deliver_all(
        model_checker.apply_action(state, ("propose", "b", ""), make_node)[0], unreachable="a"
    )
    state.used = dict.fromkeys(state.used, 0)
    assert model_checker.current_fence(state, "b") is not None and any(
        message[0] == "sink" for message in state.flying
    )
    return state


def test_late_effect_is_rejected_and_a_sink_that_accepts_all_is_detected():
    bounds = model_checker.Bounds(states=3_000, flying=12, term=2, effects=1, steps=1)
    result = model_checker.explore(bounds, start=state_with_late_effect(), sink=AcceptingSink)
    assert result.broken == "no effect after a higher fence was seen", result
    assert (
        model_checker.replay(result.story, start=state_with_late_effect(), sink=AcceptingSink)
        == result.broken
    )
    assert model_checker.replay(result.story, start=state_with_late_effect()) is None
    assert model_checker.explore(bounds, start=state_with_late_effect()).broken is None


def test_fencing_tokens_that_do_not_rise_are_detected(monkeypatch):
    original_apply = ClusterState.apply
    monkeypatch.setattr(
        ClusterState,
        "apply",
        lambda cluster_state, command: original_apply(
            cluster_state._replace(fencing_token=0) if command[0] == "grant" else cluster_state, command
        ),
    )
    with pytest.raises(AssertionError):
        state_with_late_effect()  # b is granted a's token
    state, violation = model_checker.state_with_leader(), None
    for _ in range(2):
        state, violation = model_checker.apply_action(state, ("propose", "a", ""))
        while state.flying and not violation:
            state, violation = model_checker.apply_action(state, ("deliver", 0, ""))
    assert violation == "one holder of a fence"


def test_no_cluster_module_is_loaded_without_its_section(tmp_path):
    code = (
        "import sys; from valeturn.server import commands, components, server; "
        "print([name for name in sys.modules if name.startswith('valeturn.cluster')])"
    )
    completed = subprocess.run([sys.executable, "-c", code], cwd=REPOSITORY, capture_output=True, text=True)
    assert completed.stdout.strip() == "[]", completed.stderr

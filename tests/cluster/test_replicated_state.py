"""The replicated state machine: commands applied one by one, compared with a simple model."""

from hypothesis import given, settings
from hypothesis import strategies as st

from valeturn.cluster.replicated_state import ClusterState

FAST = settings(derandomize=True, deadline=None, max_examples=200)


@FAST
@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("grant"), st.sampled_from("de"), st.sampled_from("ab"), st.integers(1, 2)),
            st.tuples(st.just("drop"), st.sampled_from("de")),
            st.tuples(st.just("admit"), st.sampled_from("ab"), st.integers(1, 2)),
            st.tuples(st.just("dismiss"), st.sampled_from("ab")),
            st.tuples(st.just("epoch"), st.integers(0, 30)),
            st.just(("begin",)),
        ),
        max_size=25,
    )
)
def test_commands_match_simple_model(commands):
    state, leases, voters, token, granted_tokens = ClusterState(), {}, {}, 0, []
    for command in commands:
        before, state = state, state.apply(command)
        if command[0] == "grant":
            token += 1
            leases[command[1]] = (command[2], command[3], token)
            granted_tokens.append(token)
        elif command[0] == "drop":
            leases.pop(command[1], None)
        elif command[0] == "admit":
            voters.setdefault(command[1], command[2])
        elif command[0] == "dismiss":
            voters.pop(command[1], None)
        elif command[0] == "epoch":
            token = max(token, command[1])
        assert state.fencing_token == token >= before.fencing_token
        assert dict(state.voters) == voters and {task: row for task, *row in state.task_leases} == {
            task: list(row) for task, row in leases.items()
        }
    assert granted_tokens == sorted(set(granted_tokens)), "no fencing token is granted twice"

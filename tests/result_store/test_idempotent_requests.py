"""Idempotent requests with a store: the dispatcher during kills, disk failures, shutdowns and duplicates."""

import pytest
from helpers import Caller, DispatcherHarness
from memory_disk import Machine, seeded

from valeturn.admission import interface
from valeturn.admission.controller import AdmissionController
from valeturn.dispatch import messages
from valeturn.dispatch.deduplication import IN_STORE
from valeturn.dispatch.executor_client import REPLAY_END
from valeturn.protocol import executor as executor_protocol
from valeturn.protocol.executor import RunResult

DELIVERED, TURNED_BACK, WRITTEN_OFF = 1, 0, 9
TIMER_FIRED = messages.DeferredEvent(interface.TimerFired(0, None))
REMEMBERED = [lambda n: interface.StoreKey(n, 8.0), interface.Start]


def run_ended(call, end=RunResult.DONE, result=b"result", number=1):
    return executor_protocol.RunEnded(number, call, end, 0.1, result)


class World:
    """A server with a store on a disk that survives its restarts."""

    def __init__(self, held=False, real=False, **changes):
        self.machine, self.real, self.changes = Machine(longest=8.0), real, changes
        self.caller, self.start_count = Caller(), 0
        self.start(held)

    def start(self, held=False):
        self.start_count += 1
        self.store = self.machine.start(held)
        self.ends = DispatcherHarness(result_store=self.store, **self.changes)
        self.ends.last_number = 1000 * self.start_count  # execution ids differ after a restart
        if self.real:
            self.ends.dispatcher.controller = AdmissionController(self.ends.settings, 1, self.ends.now)

    def restart(self, held=False):
        self.machine.kill()
        self.start(held)

    def arrive(self, key="m", workload="book", do=None, caller=None, **changes):
        do = () if self.real else REMEMBERED if do is None else do
        return self.ends.arrive(workload, caller or self.caller, actions=do, idempotency_key=key, **changes)

    def disk(self, steps=None):
        """Run up to `steps` jobs of the worker, and report them to the dispatcher."""
        self.store.worker.step(steps)
        self.ends.turn(messages.StoreProgressed())

    def commands(self, kind="EXEC"):
        return [line["rid"] for line in self.ends.commands if line["t"] == kind]


def answer_codes(caller):
    return [code for _, code, _ in caller.answers]


def test_nothing_goes_to_the_executor_before_its_intent_is_durable():
    world = World(held=True)
    world.disk()
    number, call = world.arrive()
    world.ends.turn()
    assert world.commands() == []
    world.disk()
    assert world.commands() == [call]
    world.ends.turn(run_ended(call))
    assert world.caller.answers == [(1001, DELIVERED, b"result")], "the answer does not wait for the disk"


def test_requests_without_idempotency_key_do_not_wait_for_the_disk():
    world = World(held=True)
    _, read = world.arrive(workload="read", do=[interface.Start])
    _, file = world.arrive(workload="file", do=[interface.Start])
    _, keyless = world.arrive(key=None, do=[interface.Start])
    assert world.commands() == [read, file, keyless]


@pytest.mark.parametrize(
    "at, answered",
    [
        ("before the intent", "runs"),
        ("between intent and start", WRITTEN_OFF),
        ("between start and end", WRITTEN_OFF),
        ("between end and result", WRITTEN_OFF),
        ("between result and answer", DELIVERED),
    ],
)
def test_duplicate_after_kill_at_each_point_is_answered_consistently(at, answered):
    world = World(held=True)
    world.disk()
    _, call = world.arrive()
    if at == "between intent and start":
        world.store.worker.step()
    elif at != "before the intent":
        world.disk()
        assert world.commands() == [call]
        if at != "between start and end":
            world.ends.turn(run_ended(call))
            if at == "between result and answer":
                world.store.worker.step()  # durable; the answer counts as lost with its connection
    world.restart()
    caller = Caller()
    number, again = world.arrive(
        caller=caller, do=None if answered == "runs" else [interface.AnswerFromOriginal]
    )
    if answered == "runs":
        world.disk()
        assert world.commands() == [again] and caller.answers == []
        return
    assert world.ends.events[-1].duplicate_of == 0 and world.commands() == []
    world.disk()
    assert answer_codes(caller) == [answered] and (answered != DELIVERED or caller.answers[0][2] == b"result")
    world.ends.turn()
    outcome = interface.Outcome.DONE if answered == DELIVERED else interface.Outcome.ERROR
    assert (
        world.ends.events[-1] == interface.Ended(number, outcome, 0.0) and not world.ends.dispatcher.pending
    )


def test_one_key_on_three_connections_is_executed_once_over_a_restart():
    world, callers = World(), [Caller() for _ in range(3)]
    first, call = world.arrive(caller=callers[0])
    world.disk()
    for caller in callers[1:]:
        world.arrive(caller=caller, do=[interface.AnswerFromOriginal])
        assert world.ends.events[-1].duplicate_of == first
    assert world.commands() == [call]
    world.ends.turn(run_ended(call))
    assert [answer_codes(caller) for caller in callers] == [[DELIVERED]] * 3
    world.disk()
    world.restart()
    callers = [Caller() for _ in range(3)]
    for caller in callers:
        world.arrive(caller=caller, do=[interface.AnswerFromOriginal])
    world.disk()
    assert [caller.answers[0][1:] for caller in callers] == [
        (DELIVERED, b"result")
    ] * 3 and world.commands() == []


@pytest.mark.parametrize("what", ["write", "sync"])
def test_intent_that_can_t_be_logged_is_rejected_with_retry_after(what):
    world = World(real=True)
    world.disk()
    world.machine.files.fail[what] = (1, 5)
    callers = [Caller(), Caller()]
    world.arrive(caller=callers[0])
    world.arrive(caller=callers[1])
    for _ in range(3):
        world.disk()
    assert [answer_codes(caller) for caller in callers] == [[TURNED_BACK]] * 2 and world.commands() == []
    late = Caller()
    world.arrive(key="other", caller=late)
    assert answer_codes(late) == [TURNED_BACK] and 0.9 <= late.retry_after <= 1.0, (
        "the disk is tried again after a second"
    )
    for _ in range(20):  # the disk accepts writes again
        world.machine.pass_time(0.1)
        world.store.maintain()
        world.disk()
    _, call = world.arrive(caller=Caller())
    world.disk()
    assert world.commands() == [call] and not world.ends.counts.get("errors.core")


def test_cancellation_before_intent_is_durable_sends_nothing():
    world = World(held=True)
    world.disk()
    number, call = world.arrive()
    world.ends.turn(messages.SubmissionCancelled(world.caller, 1001), actions=[interface.Interrupt(number)])
    world.ends.turn()
    assert world.ends.events[-1] == interface.Ended(number, interface.Outcome.CANCELLED, 0.0)
    world.disk()
    world.disk()
    assert world.commands() == [] and world.commands("KILL") == []
    _, again = world.arrive(caller=Caller())
    world.disk()
    assert world.commands() == [again]
    world.restart()
    late = Caller()
    world.arrive(caller=late, do=[interface.AnswerFromOriginal])
    assert answer_codes(late) == [WRITTEN_OFF], "the second one was executed"


def lose_start(world, call, number):
    """Break the executor's link with a start on it, and prove after the reconnection that it is lost."""
    ends = world.ends
    ends.turn(messages.ExecutorDisconnected(ends.now - 1.0))
    ends.turn(messages.ExecutorConnected(False, 9.0), executor_protocol.GaugesReported(REPLAY_END, ()))
    ends.turn(messages.InDoubtCheckDue(number))
    assert world.commands("KILL") == [call]
    ends.report_gauges()
    assert ends.events[-1] == interface.Ended(number, interface.Outcome.CANCELLED, 0.0)


def suspend_before_intent_is_durable(world, call, number):
    """Interrupt an execution whose intent is on its way to the disk."""
    world.ends.turn(TIMER_FIRED, actions=[interface.Interrupt(number)])
    world.ends.turn()
    assert world.ends.events[-1] == interface.Ended(number, interface.Outcome.CANCELLED, 0.0)


def suspend_before_executor_connects(world, call, number):
    """Interrupt an execution whose intent is durable and whose start waits for the executor's link."""
    world.ends.connected = False
    world.disk()
    suspend_before_intent_is_durable(world, call, number)
    world.ends.connected = True


@pytest.mark.parametrize(
    "cancel, durable",
    [
        (lose_start, True),
        (suspend_before_intent_is_durable, False),
        (suspend_before_executor_connects, False),
    ],
)
def test_duplicate_of_request_that_waits_to_be_started_again_is_not_executed(cancel, durable):
    """Guards against a key that is forgotten while its request is pending: the duplicate ran beside it."""
    world, callers = World(held=True), [Caller(), Caller()]
    world.disk()
    number, call = world.arrive(caller=callers[0])
    if durable:
        world.disk()
    cancel(world, call, number)
    world.disk()
    world.arrive(caller=callers[1], do=[interface.AnswerFromOriginal])
    assert world.ends.events[-1].duplicate_of == number
    world.ends.turn(TIMER_FIRED, actions=[interface.Start(number)])
    for _ in range(3):
        world.disk()
    assert set(world.commands()) == {call}
    world.ends.turn(run_ended(call))
    assert [answer_codes(caller) for caller in callers] == [[DELIVERED]] * 2


def test_request_that_ends_without_having_run_releases_its_key():
    """Guards against a key that outlives a request whose start was lost: its next try could never run."""
    world = World(held=True)
    world.disk()
    number, call = world.arrive()
    world.disk()
    lose_start(world, call, number)
    world.ends.turn(TIMER_FIRED, actions=[interface.Fail(number)])
    world.disk()
    assert answer_codes(world.caller) == [WRITTEN_OFF]
    _, again = world.arrive(caller=Caller())
    assert world.ends.events[-1].duplicate_of is None
    world.disk()
    world.disk()
    assert world.commands() == [call, again]


@pytest.mark.parametrize("lost", ["on the link", "before the link"])
def test_suspended_execution_whose_next_start_is_lost_counts_as_executed(lost):
    """Guards against a run with progress that is recorded as never started: a restart would run it again."""
    world = World(interruption=interface.Interruption.SUSPEND)
    number, call = world.arrive()
    world.disk()
    world.ends.turn(TIMER_FIRED, actions=[interface.Interrupt(number)])
    world.ends.turn(run_ended(call, RunResult.STOPPED, b""))
    world.ends.commands.clear()
    if lost == "on the link":
        world.ends.turn(TIMER_FIRED, actions=[interface.Start(number)])
        lose_start(world, call, number)
    else:
        world.ends.connected = False
        world.ends.turn(TIMER_FIRED, actions=[interface.Start(number)])
        suspend_before_intent_is_durable(world, call, number)
    world.disk()
    world.restart()
    world.disk()
    late = Caller()
    world.arrive(caller=late, do=[interface.AnswerFromOriginal])
    assert world.ends.events[-1].duplicate_of == IN_STORE
    assert answer_codes(late) == [WRITTEN_OFF] and world.commands() == []


def test_shutdown_with_pending_intents_answers_all_and_executes_none():
    world = World(held=True, real=True)
    world.disk()
    for n in range(3):
        world.arrive(key=f"m{n}")
    world.ends.turn(messages.DrainRequested(1.0))
    for _ in range(12):
        world.ends.now += 0.1
        world.ends.turn(messages.DeferredEvent(interface.TimerFired(0, interface.Gauges())))
    assert len(world.caller.answers) == 3 and world.commands() == []
    world.disk()
    world.ends.turn()
    assert world.commands() == [], "durable, but no request waits for it"
    world.store.worker.paused = False
    world.disk()
    assert world.store.close(1.0)
    world.restart()
    assert world.store.index.count == 0, "recorded as unsent"


def test_executor_report_from_before_restart_answers_duplicate():
    world = World()
    _, call = world.arrive()
    _, file = world.arrive(workload="file", key=None, do=[interface.Start])
    world.restart()
    world.ends.turn(
        run_ended(call, result=b"from before"),
        run_ended(file, number=2),
        executor_protocol.GaugesReported(REPLAY_END, ()),
    )
    assert world.ends.counts["executor.run_of_none"] == 1, (
        "an execution without a key is not known after the restart; nothing runs again"
    )
    assert world.commands() == []
    caller = Caller()
    world.arrive(caller=caller, do=[interface.AnswerFromOriginal])
    world.disk()
    assert caller.answers[0][1:] == (DELIVERED, b"from before")


def test_unfinished_execution_at_its_downstream_call_is_ended_after_restart():
    world = World()
    _, call = world.arrive()
    world.restart()
    world.ends.turn(executor_protocol.CallRequest(1, call, b"ask"))
    assert world.commands("KILL") == [call] and world.ends.calls == []
    world.ends.turn(run_ended(call, RunResult.STOPPED, b"", 2))
    caller = Caller()
    world.arrive(caller=caller, do=[interface.AnswerFromOriginal])
    world.disk()
    assert answer_codes(caller) == [WRITTEN_OFF]


def test_unreadable_result_fails_and_late_result_is_abandoned():
    world = World()
    _, call = world.arrive()
    world.ends.turn(run_ended(call))
    world.disk()
    world.restart()
    world.machine.files.fail["read"] = (1, 5)
    caller = Caller()
    world.arrive(caller=caller, do=[interface.AnswerFromOriginal])
    world.disk()
    assert answer_codes(caller) == [WRITTEN_OFF]
    world.store.worker.paused = True  # the disk hangs
    caller = Caller()
    number, _ = world.arrive(caller=caller, do=[interface.AnswerFromOriginal])
    world.ends.turn(messages.DeferredEvent(interface.TimerFired(0, None)), actions=[interface.Fail(number)])
    assert answer_codes(caller) == [WRITTEN_OFF]
    world.disk()
    assert answer_codes(caller) == [WRITTEN_OFF], "one answer"


def test_failing_admission_controller_leaves_store_consistent():
    world = World(held=True)
    world.disk()
    _, sent = world.arrive("sent")
    world.disk()
    world.arrive("on its way")
    world.ends.fail_next_decision()
    world.ends.turn(messages.DeferredEvent(interface.TimerFired(0, None)))
    world.disk()
    world.disk()
    assert world.commands() == [sent] and world.commands("KILL") == [sent]
    world.restart()
    assert world.store.look_up(world.store.key_digest("book", "sent"), 0.0).outcome == "fail"
    assert world.store.look_up(world.store.key_digest("book", "on its way"), 0.0).outcome == "execute"


def test_full_deduplication_table_without_store_rejects_requests():
    caller = Caller()
    ends = DispatcherHarness()
    ends.dispatcher.controller = AdmissionController(ends.settings, 1, ends.now)
    ends.dispatcher.deduplication.table.max_bytes = 500
    for key in ("a", "b"):
        ends.arrive("book", Caller(), idempotency_key=key)
    ends.arrive("book", caller, idempotency_key="c")
    assert answer_codes(caller) == [TURNED_BACK] and caller.retry_after == 1.0 and len(ends.commands) == 2


@pytest.mark.parametrize("seed", range(8))
def test_no_key_executes_twice_and_each_request_has_one_answer_over_restarts(seed):
    """The real controller and store, an executor that survives both, kills at any time and a failing disk."""
    random_source, world = seeded("keyed", seed), World(held=True, real=True)
    effects, results, running, streams = {}, {}, {}, {}
    seen = notices = 0
    for step in range(1500):
        ends = world.ends
        ends.now += 0.02
        world.machine.pass_time(0.02)
        if random_source.random() < 0.3:
            key, caller = f"m{step // 100}-{random_source.randrange(12)}", Caller()
            _, call = world.arrive(key, caller=caller, body=key.encode())
            streams[call] = caller, key
        roll = random_source.random()
        if roll < 0.5:
            world.disk(random_source.randrange(1, 3))
        elif roll < 0.51:
            world.machine.files.fail[random_source.choice(("write", "sync"))] = 1, 5
        elif roll < 0.52:
            world.restart(held=True)
            streams, seen = {}, 0
            ends = world.ends
            ends.turn(executor_protocol.GaugesReported(REPLAY_END, ()))
        if step % 5 == 0:
            ends.turn(messages.DeferredEvent(interface.TimerFired(0, interface.Gauges())))
            world.store.maintain()
        for line in ends.commands[seen:]:
            if line["t"] == "EXEC":
                key = streams[line["rid"]][1]
                assert key not in effects, "an effect ran twice"
                effects[key], running[line["rid"]] = line["rid"], key
            elif line["t"] == "KILL" and line["rid"] in running:
                running.pop(line["rid"])
                notices += 1
                ends.turn(run_ended(line["rid"], RunResult.STOPPED, b"", notices))
        seen = len(ends.commands)
        for call in sorted(running):
            if random_source.random() < 0.1:
                key = running.pop(call)
                notices += 1
                results[key] = b"done " + key.encode()
                ends.turn(run_ended(call, RunResult.DONE, results[key], notices))
        for caller, key in streams.values():
            assert len(caller.answers) <= 1
            for _, code, body in caller.answers:
                assert code != DELIVERED or body == results[key]
    assert len(effects) > 30 and world.machine.counts.get("store.invalid_transitions", 0) == 0
    assert not world.ends.counts.get("errors.core")

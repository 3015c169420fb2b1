"""The admission controller, step by step: each test sends it events through the reference model."""

import pytest
from helpers import Model, settings

from valeturn.admission import interface
from valeturn.admission.controller import MAX_RETRY_RATIO, MAX_RETRY_RATIO_DEGRADED, AdmissionController

READ, BOOK, FILE = range(3)


def make_model(**changes):
    model_settings = settings(**changes)
    model = Model(AdmissionController(model_settings, 1, 0.0), model_settings)
    model.batch(0.0)
    return model


def arrival(number, workload=READ, **changes):
    fields = dict(tenant=0, memory=10.0, cost_hint=0.1, subject=f"k{number}")
    return interface.Arrived(number, workload, **{**fields, **changes})


def timer_fired(busy=1.0, runnable=9):
    return interface.TimerFired(0, interface.Gauges(busy, runnable, 0.1, 5))


def action_types(actions, number=None):
    return [type(action) for action in actions if hasattr(action, "id") and number in (None, action.id)]


def run_until(model, end, interval=0.05, now=0.0):
    actions = []
    while now < end:
        now = round(now + interval, 6)
        actions += model.batch(now, timer_fired())
    return actions


def test_running_submission_fails_before_its_deadline_and_is_interrupted():
    model = make_model()
    assert action_types(model.batch(0.1, arrival(1, time_left=1.0))) == [interface.Start]
    assert action_types(run_until(model, 1.2, now=0.1)) == [interface.Fail, interface.Interrupt]


def test_queued_submission_is_rejected_after_its_objective_deadline():
    model = make_model(interruption=interface.Interruption.UNSUPPORTED)
    model.batch(0.1, arrival(1, FILE), arrival(2, FILE), arrival(3, READ))
    assert action_types(run_until(model, 1.3, now=0.1), 3) == [interface.Reject]


def test_overload_starts_as_many_as_cores_and_the_shortest_first():
    model = make_model()
    actions = model.batch(
        0.1, *[arrival(number, cost_hint=0.4 - number / 40, time_left=2.9) for number in range(1, 9)]
    )
    assert action_types(actions).count(interface.Start) == 2
    model.batch(0.2, interface.Ended(7, interface.Outcome.DONE, 0.1))
    assert [action.id for action in model.all_actions if isinstance(action, interface.Start)][:3] == [8, 7, 6]


def test_few_queued_submissions_start_in_order_of_arrival():
    model = make_model(cores=4)
    model.batch(
        0.1,
        *[arrival(number, FILE) for number in range(1, 5)],
        arrival(5, FILE, cost_hint=0.4),
        arrival(6, FILE),
    )
    assert action_types(model.batch(0.4, interface.Ended(1, interface.Outcome.DONE, 0.3)), 5) == [
        interface.Start
    ]


def test_concurrency_limit_rises_while_cores_idle_and_is_cut_when_runs_take_twice_as_long():
    model = make_model()
    model.batch(0.1, *[arrival(number, FILE, time_left=4.9) for number in range(1, 9)])
    model.batch(0.15, timer_fired(busy=0.3, runnable=1))
    assert (
        action_types(model.batch(0.2, interface.Ended(1, interface.Outcome.DONE, 0.1))).count(interface.Start)
        == 2
    )
    assert (
        action_types(
            model.batch(0.21, *[interface.Ended(number, interface.Outcome.DONE, 0.1) for number in (3, 4)])
        ).count(interface.Start)
        == 2
    )
    assert model.controller.concurrency_limit == 3.0, (
        "by one per timer event, however many runs end before it"
    )
    model.controller.concurrency_limit = 6.0
    sums, baseline = model.controller.recent_runs.read(0.2), model.controller.baseline_runs.read(0.2)
    sums[8:10], baseline[4:6] = (1.0, 10.0), (1.0, 3.0)
    model.batch(1.5, interface.Ended(2, interface.Outcome.DONE, 1.4))
    assert model.controller.concurrency_limit == pytest.approx(4.8)


def test_run_without_a_caller_is_interrupted_unless_a_duplicate_may_come():
    model = make_model()
    model.batch(0.1, arrival(1, FILE), arrival(2, BOOK))
    assert action_types(model.batch(0.2, interface.CallerGone(1), interface.CallerGone(2))) == [
        interface.Interrupt
    ]


def test_duplicate_is_coalesced_and_never_rejected_once_the_original_ran():
    model = make_model()
    assert action_types(model.batch(0.1, arrival(1, BOOK, subject="x"))) == [
        interface.StoreKey,
        interface.Start,
    ]
    assert action_types(model.batch(0.2, arrival(2, BOOK, subject="x", duplicate_of=1))) == [
        interface.AnswerFromOriginal
    ]
    assert interface.Reject not in action_types(run_until(model, 6.5, now=0.2))


def test_deduplicated_submission_is_rejected_without_memory_for_its_key():
    model = make_model(memory=100.0, key_memory=90.0)
    assert action_types(model.batch(0.1, arrival(1, BOOK))) == [interface.Reject]


def test_key_of_a_rejected_submission_is_forgotten():
    model = make_model(interruption=interface.Interruption.UNSUPPORTED)
    model.batch(0.1, arrival(1, FILE), arrival(2, FILE), arrival(3, BOOK))
    assert action_types(run_until(model, 2.3, now=0.1), 3) == [interface.Forget, interface.Reject]


def test_drain_rejects_arrivals_after_the_grace_and_answers_all_before_the_stop():
    model = make_model()
    model.batch(0.1, arrival(1, FILE), interface.DrainStarted(3.0))
    assert interface.Health(False, True) in model.all_actions
    assert action_types(model.batch(1.0, arrival(2, FILE))) == [interface.Start]
    actions = model.batch(1.2, arrival(3, FILE))
    assert actions == [interface.Reject(3, 1.0, False)]
    run_until(model, 3.05, now=1.2)
    assert not any(submission["awaits_answer"] for submission in model.submissions.values())


def test_call_is_repeated_only_if_it_is_idempotent_or_was_not_executed():
    model = make_model()
    model.batch(0.1, arrival(1, FILE), arrival(2, READ))
    assert action_types(model.batch(0.2, interface.CallRequested(1), interface.CallRequested(2))) == [
        interface.Call,
        interface.Call,
    ]
    assert action_types(model.batch(0.3, interface.CallEnded(1, interface.Outcome.REFUSED, 0.1))) == [
        interface.Call
    ]
    assert action_types(model.batch(0.4, interface.CallEnded(1, interface.Outcome.RESET, 0.1))) == [
        interface.Fail
    ]
    assert action_types(model.batch(0.5, interface.CallEnded(2, interface.Outcome.TIMED_OUT, 0.1))) == [
        interface.Call
    ]
    assert action_types(model.batch(0.6, interface.CallEnded(2, interface.Outcome.TIMED_OUT, 0.1))) == [
        interface.BypassCall
    ]


def test_calls_keep_to_the_quota_and_a_small_quota_does_not_starve_short_calls():
    model = make_model(call_quota=0.8, cores=4)
    model.batch(0.1, *[arrival(number, FILE) for number in range(1, 5)])
    assert (
        action_types(model.batch(0.2, *[interface.CallRequested(number) for number in range(1, 5)])).count(
            interface.Call
        )
        == 2
    )
    for now in (0.21, 0.22):
        done = next(
            submission_id
            for submission_id, submission in model.submissions.items()
            if submission["state"] == "calling"
        )
        assert (
            action_types(model.batch(now, interface.CallEnded(done, interface.Outcome.DONE, 0.01))).count(
                interface.Call
            )
            == 1
        )
    last = next(
        submission_id
        for submission_id, submission in model.submissions.items()
        if submission["state"] == "calling"
    )
    model.batch(0.3, interface.CallerGone(last), interface.Ended(last, interface.Outcome.CANCELLED, 0.2))
    assert model.controller.call_budget < 0.8 + 0.05


@pytest.mark.parametrize("workload, means", [(READ, 10), (FILE, 24)])
def test_unanswered_call_times_out_and_a_slow_dependency_is_learnt(workload, means):
    """The timeout is shorter where the call can be made again."""
    model = make_model(call_quota=20.0)
    model.batch(0.1, arrival(1, workload), arrival(2, workload))
    (first,) = [
        action
        for action in model.batch(0.2, interface.CallRequested(1))
        if isinstance(action, interface.Call)
    ]
    assert first.timeout == pytest.approx(means * 0.025), "nothing is known yet"
    model.batch(0.23, interface.CallEnded(1, interface.Outcome.DONE, 0.03))
    (second,) = [
        action
        for action in model.batch(0.3, interface.CallRequested(2))
        if isinstance(action, interface.Call)
    ]
    assert second.timeout == pytest.approx(means * 0.03)
    model.batch(1.1, interface.CallEnded(2, interface.Outcome.TIMED_OUT, 0.8))
    assert model.controller.min_call_timeout() == pytest.approx(4 * 0.415, rel=0.05)


def test_cold_server_starts_no_more_than_its_maximum_concurrency():
    model = make_model(starts_cold=True, interruption=interface.Interruption.UNSUPPORTED)
    model.controller.concurrency_limit = 99.0
    model.batch(0.1, *[arrival(number, time_left=2.0) for number in range(1, 30)])
    assert sum(submission["state"] == "running" for submission in model.submissions.values()) == 2


def test_memory_limits_starts_and_the_queue():
    model = make_model(memory=400.0)
    model.batch(0.1, *[arrival(number, FILE, memory=15.0) for number in range(1, 50)])
    assert (
        action_types(model.all_actions).count(interface.Start) == 1
        and action_types(model.all_actions).count(interface.Reject) > 10
    )


def test_tenant_over_its_allowance_is_pruned_first():
    model = make_model(interruption=interface.Interruption.UNSUPPORTED)
    model.batch(0.05, *[arrival(number, tenant=0, cost_hint=0.3) for number in range(1, 40)])
    actions = model.batch(0.1, *[arrival(number, tenant=1, cost_hint=0.3) for number in range(40, 42)])
    assert interface.Reject not in action_types(actions, 40) + action_types(actions, 41)


def test_rejections_become_final_once_many_submissions_are_rejected():
    """While few are, other servers likely have room; with more, every submission would visit all servers."""
    model = make_model(cores=1, interruption=interface.Interruption.UNSUPPORTED)
    model.batch(0.1, *[arrival(number, cost_hint=0.9) for number in range(1, 9)])
    rejections = [action.final for action in model.all_actions if isinstance(action, interface.Reject)]
    assert len(rejections) >= 4 and rejections == [
        number / 8 >= MAX_RETRY_RATIO for number in range(1, len(rejections) + 1)
    ]


def test_degraded_server_lets_most_rejected_submissions_retry_elsewhere():
    model = make_model(cores=1, interruption=interface.Interruption.UNSUPPORTED, starts_cold=True)
    model.batch(0.1, *[arrival(number, cost_hint=0.9) for number in range(1, 9)])
    rejections = [action for action in model.all_actions if isinstance(action, interface.Reject)]
    assert len(rejections) >= 7
    assert [action.final for action in rejections] == [
        number / 8 >= MAX_RETRY_RATIO_DEGRADED for number in range(1, len(rejections) + 1)
    ]


def test_much_slower_dependency_is_learnt_in_a_few_calls_and_unanswered_calls_change_little():
    """Quick calls, then slow ones that time out: with a mean of ten seconds alone they timed out one after
    the other. One unanswered call in twenty changes nothing."""
    model, now = make_model(call_quota=20.0, cores=6), 0.0
    for number in range(1, 41):
        silent = number in (10, 30)
        model.batch(now + 0.01, arrival(number, FILE, time_left=4.0))
        (call,) = [
            action
            for action in model.batch(now + 0.02, interface.CallRequested(number))
            if isinstance(action, interface.Call)
        ]
        took = call.timeout if silent else 0.01
        model.batch(
            now + 0.02 + took,
            interface.CallEnded(
                number, interface.Outcome.TIMED_OUT if silent else interface.Outcome.DONE, took
            ),
        )
        model.batch(
            now + 0.03 + took,
            interface.Ended(number, interface.Outcome.CANCELLED if silent else interface.Outcome.DONE, 0.02),
        )
        now += 1.0
    assert model.controller.median_call_time < 0.03, "two were unanswered, each for its whole timeout"
    given_up = 0
    for number in range(41, 61):
        model.batch(now + 0.01, arrival(number, FILE, time_left=4.0))
        (call,) = [
            action
            for action in model.batch(now + 0.02, interface.CallRequested(number))
            if isinstance(action, interface.Call)
        ]
        given_up += call.timeout < 1.0
        took, outcome = (
            (call.timeout, interface.Outcome.TIMED_OUT)
            if call.timeout < 1.0
            else (1.0, interface.Outcome.DONE)
        )
        model.batch(now + 0.02 + took, interface.CallEnded(number, outcome, took))
        ended = interface.Outcome.DONE if outcome is interface.Outcome.DONE else interface.Outcome.CANCELLED
        model.batch(now + 0.03 + took, interface.Ended(number, ended, 0.1))
        now += 1.2
    assert 1 <= given_up <= 4, "then the timeouts are long enough"


def slow_call(model, took=0.3):
    """Make one call that shows how slow the dependency is."""
    model.batch(0.05, arrival(90, FILE))
    model.batch(0.06, interface.CallRequested(90))
    model.batch(
        0.06 + took,
        interface.CallEnded(90, interface.Outcome.DONE, took),
        interface.Ended(90, interface.Outcome.DONE, took + 0.1),
    )


def test_runs_that_would_wait_long_bypass_their_call_and_leave_the_budget_to_others():
    read, *others = settings().workloads  # its objective is far: only the wait speaks against it
    model = make_model(call_quota=0.4, cores=12, workloads=(read._replace(latency_objective=2.9), *others))
    slow_call(model)
    model.batch(2.0, *[arrival(number, READ, time_left=2.9) for number in range(1, 7)], arrival(7, FILE))
    actions = model.batch(2.1, *[interface.CallRequested(number) for number in range(1, 8)])
    assert action_types(actions, 7) == [interface.Call], "it can't bypass its call"
    assert action_types(actions).count(interface.BypassCall) >= 4, "those would wait longer than a call takes"


def with_late_share(late_share):
    *others, filed = settings().workloads
    return (*others, filed._replace(late_value_share=late_share))


@pytest.mark.parametrize("late_share, expected", [(0.0, interface.Fail), (0.2, interface.Call)])
def test_run_without_value_after_its_call_fails_at_once_and_leaves_the_budget(late_share, expected):
    """After a dependency got slow, serving calls in the order of deadlines alone made each just too late."""
    model = make_model(call_quota=0.4, cores=12, workloads=with_late_share(late_share))
    slow_call(model)
    model.batch(2.0, arrival(1, FILE, waited=1.75), arrival(2, FILE))
    actions = model.batch(2.1, interface.CallRequested(1), interface.CallRequested(2))
    assert action_types(actions, 1) == [expected], "it takes 0.3 s, and 0.15 are left"
    assert (interface.Call in action_types(actions, 2)) == (not late_share), "there is budget for one"


def test_run_that_waits_for_a_call_fails_once_it_can_only_be_late():
    model = make_model(call_quota=0.2, cores=12)
    slow_call(model)
    model.batch(2.0, *[arrival(number, FILE) for number in range(1, 9)])
    actions = model.batch(2.1, *[interface.CallRequested(number) for number in range(1, 9)])
    assert 0 < action_types(actions).count(interface.Fail) < 8, (
        "the quota serves a few before their objective deadline"
    )
    assert all(
        action.timeout <= 2.0 + 2.0 - 2.1 + 1e-9 for action in actions if isinstance(action, interface.Call)
    )


@pytest.mark.parametrize("late_share, useful_until", [(0.0, 2.0), (0.2, 5.0)])
def test_call_times_out_when_the_answer_would_have_no_value(late_share, useful_until):
    model = make_model(call_quota=90.0, workloads=with_late_share(late_share))
    slow_call(model, took=1.9)
    model.batch(2.0, arrival(1, FILE, time_left=5.0))
    (call,) = [
        action
        for action in model.batch(2.01, interface.CallRequested(1))
        if isinstance(action, interface.Call)
    ]
    assert call.timeout == pytest.approx(useful_until - 0.01)


def test_call_that_can_be_bypassed_times_out_while_the_run_still_fits():
    model = make_model()
    model.batch(0.1, arrival(1, READ, cost_hint=0.2, time_left=2.9), arrival(2, FILE))
    call = [
        action
        for action in model.batch(0.2, interface.CallRequested(1), interface.CallRequested(2))
        if isinstance(action, interface.Call)
    ]
    assert [action.id for action in call] == [2, 1] and 0.2 + call[1].timeout < 0.9 + 1e-9
    assert action_types(model.batch(0.95, interface.CallEnded(1, interface.Outcome.TIMED_OUT, 0.7))) == [
        interface.BypassCall
    ]


def test_single_longer_timeout_does_not_make_usual_submissions_look_like_retries():
    model = make_model(cores=8)
    for number in range(1, 6):
        model.batch(
            0.1 * number,
            arrival(number, time_left=1.2),
            interface.Ended(number - 1, interface.Outcome.DONE, 0.1) if number > 1 else timer_fired(),
        )
    model.batch(0.6, arrival(6, time_left=2.9))
    assert action_types(model.batch(0.7, arrival(7, time_left=1.2)), 7) == [interface.Start]
    assert action_types(model.batch(0.8, arrival(8, time_left=0.1)), 8) == [interface.Reject]


def test_server_is_unhealthy_while_it_stalls_and_healthy_again_afterwards():
    model = make_model(interruption=interface.Interruption.UNSUPPORTED)
    model.batch(0.1, arrival(1, time_left=1.0), arrival(2, time_left=1.0))
    run_until(model, 3.0, now=0.1)
    assert interface.Health(False, True) not in model.all_actions
    model.batch(
        3.0, arrival(3, waited=2.0, time_left=1.0), arrival(4, waited=2.0, time_left=1.0), timer_fired()
    )
    assert interface.Health(False, True) in model.all_actions
    model.batch(
        3.1, interface.Ended(1, interface.Outcome.DONE, 3.0), interface.Ended(2, interface.Outcome.DONE, 3.0)
    )
    assert interface.Health(True, True) in run_until(model, 20.0, now=3.1)


def test_much_smaller_arrival_suspends_the_largest_run_whose_key_outlives_its_caller():
    model = make_model(interruption=interface.Interruption.SUSPEND, cores=1)
    model.batch(0.1, arrival(1, BOOK, cost_hint=0.5))
    assert action_types(model.batch(0.11, arrival(2, cost_hint=0.05), arrival(3, cost_hint=0.05)), 1) == [
        interface.Interrupt
    ]
    assert action_types(model.batch(0.12, interface.Ended(1, interface.Outcome.CANCELLED, 0.02)), 2) == [
        interface.Start
    ]
    assert interface.Forget not in action_types(model.batch(0.13, interface.CallerGone(1)))


def test_idle_connections_are_closed_soon_only_while_more_are_open_than_used():
    model = make_model()
    for now, connections in ((0.1, 15), (0.2, 60), (0.3, 60), (0.4, 15)):
        model.batch(now, interface.TimerFired(0, interface.Gauges(0.5, 1, 0.1, connections)))
    assert [
        action.idle_time for action in model.all_actions if isinstance(action, interface.CloseIdleConnections)
    ] == [0.1, 0.0]


def test_predicted_late_submission_is_kept_as_a_spare_only_if_its_timeout_is_known():
    for remaining, kept in ((2.5, True), (None, False)):
        model = make_model(cores=1, interruption=interface.Interruption.UNSUPPORTED)
        model.batch(
            0.05, *[arrival(number, FILE, cost_hint=0.6, time_left=remaining) for number in range(1, 5)]
        )
        queued = [
            number for number, submission in model.submissions.items() if submission["state"] == "queued"
        ]
        assert (len(queued) == 3) is kept


def test_submission_due_before_the_next_timer_event_is_rejected_at_once():
    assert action_types(make_model().batch(0.1, arrival(1, time_left=0.05))) == [interface.Reject]


def test_retries_do_not_count_towards_a_tenants_arrivals():
    model = make_model(cores=8)
    model.batch(
        0.05,
        *[arrival(number, is_retry=True, cost_hint=0.01) for number in range(1, 40)],
        arrival(40, tenant=1),
    )
    assert model.controller.tenant_arrivals.read(0.05) == [0, 1]


def test_number_of_spares_is_bounded_however_many_arrive_at_once():
    model = make_model(memory=1e9, interruption=interface.Interruption.UNSUPPORTED)
    model.batch(0.1, *[arrival(number, FILE, cost_hint=0.3, time_left=4.0) for number in range(1, 400)])
    assert sum(submission["state"] == "queued" for submission in model.submissions.values()) < 30


def test_memory_of_a_key_is_released_after_its_window():
    model = make_model()
    model.batch(0.1, arrival(1, BOOK))
    model.batch(0.2, interface.Ended(1, interface.Outcome.DONE, 0.1))
    assert model.controller.memory_in_use() == 10.0
    run_until(model, 8.3, now=0.2)
    assert model.controller.memory_in_use() == 0.0


def test_priority_of_each_queued_submission_is_computed_once_a_decision(monkeypatch):
    evaluated, original = [], AdmissionController.priority
    monkeypatch.setattr(
        AdmissionController,
        "priority",
        lambda self, submission: evaluated.append(submission.id) or original(self, submission),
    )
    controller = AdmissionController(settings(), 1, 0.0)
    controller.decide(
        0.0,
        [
            interface.Arrived(number, 0, memory=5.0, time_left=3.0, cost_hint=0.1 + number / 100)
            for number in range(60)
        ],
    )
    assert len(evaluated) == len(set(evaluated)) > 20

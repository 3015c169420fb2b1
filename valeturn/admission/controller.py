"""Admission and scheduling decisions of one server, as a state machine without input or output of its own.

How to call it: construct `AdmissionController(settings, seed, now)` once at start, then call
`decide(now, events)` with all events of a moment, in order. It returns the actions to carry out, in order.
The events, the actions and the settings are types of interface.py. docs/design.md gives the reasons behind
the algorithm, docs/on-call.md says what operators can do.

The algorithm is DT-SRPT (Dual-Threshold Shortest Remaining Processing Time) with a limit on concurrency that
rises by one and is cut by a factor. Once the number of queued and running submissions passes a high
threshold, queued ones start in order of their expected remaining cost, until the number falls to a low
threshold; otherwise they start in order of arrival. Queued submissions that would miss their objective are
pruned, those of the least value first.

Units: times are seconds, moments are seconds of the caller's clock, memory is in the unit of the settings.
Costs and work are in the unit of the callers' cost hints, a speed is such work per second of one run.

Reading order: the states, the inputs and the table TRANSITIONS; then `decide` and `transition`; then the
event handlers, the effects, the estimates; last the steps that follow the events of every `decide`:
`update_speeds`, `start_calls`, `limit_queue_memory`, `prune_queue` and `start_queued`. The timer also runs
`advertise_load`, `report_health` and `limit_idle_connections`.
"""

from __future__ import annotations

import math
from types import SimpleNamespace

from . import interface
from .interface import (
    AnswerFromOriginal,
    Effect,
    Fail,
    Forget,
    Interrupt,
    Interruption,
    Outcome,
    Reject,
    Start,
    StoreKey,
)

# States of a submission.
# QUEUED: waits for its start.
# RUNNING: its run occupies a core. AWAITING_CALL: its run waits until its call on the dependency may start.
# CALLING: its call is in progress. SUSPENDED: its run was interrupted and can continue later.
# COALESCED: a duplicate that waits for the original's result.
# ABANDONED: answered, or its caller is gone, but its run still occupies a core or waits for a call.
# FINISHED: nothing is left to do for it.
QUEUED, RUNNING, AWAITING_CALL, CALLING, SUSPENDED, COALESCED, ABANDONED, FINISHED = range(8)
# Inputs of the state machine: events about a submission, and decisions of the controller about it.
(
    START_RUN,  # decision: start or resume the run
    RUN_ENDED,  # event: the run ended, or the original of a duplicate was answered
    RUN_INTERRUPTED,  # event: the run was interrupted
    CALL_REQUESTED,  # event: the run wants its call
    START_CALL,  # decision: make the call
    BYPASS,  # decision: continue without the call
    CALL_SUCCEEDED,  # event: the call succeeded
    CALL_NOT_EXECUTED,  # event: the call failed and certainly had no effect
    CALL_UNCERTAIN,  # event: the call failed and may have had its effect
    CALLER_GONE,  # event: the caller no longer waits for the answer
    GIVE_UP,  # decision: answer with a rejection or a failure
    SUSPEND_RUN,  # decision: interrupt the run, to resume it later
    COALESCE,  # decision: answer a duplicate with the original's result
    RUN_UNSTORED,  # event: the run never began, as it could not be recorded first
) = range(14)

# (state, input) -> (next state, effect). An effect is the name of a method without its prefix "apply_", the
# type of an action to return, or None. A pair that is missing changes nothing: it is an event of a submission
# that has finished, or an input that does not apply in that state.
TRANSITIONS = {
    (QUEUED, START_RUN): (RUNNING, "start"),
    (QUEUED, COALESCE): (COALESCED, AnswerFromOriginal),
    (QUEUED, GIVE_UP): (FINISHED, "reject"),
    (QUEUED, CALLER_GONE): (FINISHED, "forget"),
    (SUSPENDED, START_RUN): (RUNNING, "start"),
    (SUSPENDED, GIVE_UP): (FINISHED, "fail"),
    (SUSPENDED, CALLER_GONE): (FINISHED, "forget"),
    (COALESCED, RUN_ENDED): (FINISHED, None),
    (COALESCED, GIVE_UP): (FINISHED, "reject_duplicate"),
    (COALESCED, CALLER_GONE): (FINISHED, "forget"),
    (RUNNING, RUN_ENDED): (FINISHED, None),
    (RUNNING, RUN_INTERRUPTED): (SUSPENDED, "record_progress"),
    (RUNNING, CALL_REQUESTED): (AWAITING_CALL, "request_call"),
    (RUNNING, SUSPEND_RUN): (RUNNING, Interrupt),
    (RUNNING, GIVE_UP): (ABANDONED, "fail_running"),
    (RUNNING, CALLER_GONE): (ABANDONED, "caller_gone"),
    (AWAITING_CALL, START_CALL): (CALLING, "start_call"),
    (AWAITING_CALL, BYPASS): (RUNNING, "bypass_call"),
    (AWAITING_CALL, GIVE_UP): (ABANDONED, "fail"),
    (AWAITING_CALL, CALLER_GONE): (ABANDONED, None),
    (AWAITING_CALL, RUN_ENDED): (FINISHED, None),
    (CALLING, CALL_SUCCEEDED): (RUNNING, "call_succeeded"),
    (CALLING, CALL_NOT_EXECUTED): (AWAITING_CALL, "call_not_executed"),
    (CALLING, CALL_UNCERTAIN): (AWAITING_CALL, "call_uncertain"),
    (CALLING, GIVE_UP): (ABANDONED, "fail"),
    (CALLING, CALLER_GONE): (ABANDONED, None),
    (CALLING, RUN_ENDED): (FINISHED, None),
    (ABANDONED, RUN_ENDED): (FINISHED, None),
    (RUNNING, RUN_UNSTORED): (FINISHED, "reject"),  # it could not be recorded, so it never started
    (ABANDONED, RUN_UNSTORED): (FINISHED, "forget"),
}
STATES_ON_CORES = (RUNNING, ABANDONED)  # states that count as a run on the cores
CALL_OUTCOME_INPUTS = {
    Outcome.DONE: CALL_SUCCEEDED,
    Outcome.REFUSED: CALL_NOT_EXECUTED,
    Outcome.UNREACHED: CALL_NOT_EXECUTED,
    Outcome.MOOT: CALL_NOT_EXECUTED,
    Outcome.ERROR: CALL_UNCERTAIN,
    Outcome.TIMED_OUT: CALL_UNCERTAIN,
    Outcome.RESET: CALL_UNCERTAIN,
    Outcome.CANCELLED: CALL_UNCERTAIN,
}

# Seconds between timer events: under half of the shortest run seen. Each event costs CPU time on all servers.
TIMER_INTERVAL_S = 0.1
# The two thresholds of overload mode, in queued, suspended and running submissions per core. The mode begins
# once half as many submissions wait as there are cores, and lasts until none has to wait.
OVERLOAD_ENTER_PER_CORE, OVERLOAD_LEAVE_PER_CORE = 1.5, 1.0
# Once runs take SLOWDOWN_FACTOR times their baseline time, the concurrency limit is multiplied by
# LIMIT_REDUCTION_FACTOR. Both are given by the design.
LIMIT_REDUCTION_FACTOR, SLOWDOWN_FACTOR = 0.8, 2.0
# Ratios of the memory: above the first the queue is cut, above the second nothing starts, no key is stored.
MAX_QUEUE_MEMORY_RATIO, MAX_RUN_MEMORY_RATIO = 0.7, 0.85
# Predicted finish times are stretched by this factor, as the costs of submissions vary about their estimates.
# Factors from 1.25 to 1.6 work well.
FINISH_TIME_FACTOR = 1.4
# A server may be stalled if submissions wait unread for longer than this on average, in seconds: a few times
# what reading takes when all cores are busy.
STALL_WAIT_S = 0.5
# Open connections per core that are no burden; seconds between two uses of a connection, above which there
# are too many; seconds after which idle connections are closed while there are too many.
HARMLESS_CONNECTIONS_PER_CORE, CONNECTION_USE_INTERVAL_S, SHORT_IDLE_TIME_S = 10, 2.0, 0.1
# Ratio of rejected submissions above which the advertised load rises: past it, reading submissions only to
# reject them costs more than an advertised load that is too high. With 0.05 the load rose too eagerly.
ADVERTISE_REJECTION_RATIO = 0.3
# Largest number of (caller, workload) pairs whose usual timeout is remembered: enough for some hundred
# callers at once. The ids of callers may be new for ever, so there has to be a bound.
MAX_USUAL_TIMEOUTS = 1024
# Ratio of rejected submissions below which a degraded server lets callers retry elsewhere. A server at a
# quarter of its speed rejects three quarters of them by itself.
MAX_RETRY_RATIO_DEGRADED = 0.75
# The same for a server that is not degraded: up to here other servers likely have room. At 0.25 callers come
# to a third more servers.
MAX_RETRY_RATIO = 0.25
# Spares per core (see prune_queue): more than can start within an objective, and few enough to look through
# at every event.
SPARES_PER_CORE = 4
# Ratio of the concurrency that a server surely survives: the rest is room for runs that resume after a call.
SAFE_CONCURRENCY_RATIO = 0.6
# Longest timeout of a call, in minimum timeouts of four mean calls each: ten mean calls, and 24 where the
# call can't be made again. A dependency that is silent for longer hardly ever answers.
REPEATABLE_CALL_TIMEOUT_FACTOR, FINAL_CALL_TIMEOUT_FACTOR = 2.5, 6.0
# Factor by which one call moves the estimate of the median: a dependency that is ten times slower is learnt
# in six calls, and noise stays within a factor of about two.
MEDIAN_STEP_FACTOR = 1.5
# Ratios of the call quota: the first is earned per second, the second is the most that may be saved, as a
# ratio of the quota's window. Together they are under 1, so that no window exceeds the quota.
CALL_BUDGET_RATE, MAX_CALL_BUDGET_RATIO = 0.7, 0.25


class DecayingSums:
    """A row of sums that decay exponentially, brought up to date when they are read.

    Args:
        time_constant: Seconds in which a sum falls to 1/e.
        count: Number of sums.
        now: The current moment, in seconds.
    """

    def __init__(self, time_constant, count, now):
        self.time_constant, self.updated_at, self.sums = time_constant, now, [0.0] * count

    def read(self, now):
        """Return the list of the sums, after it was brought up to date."""
        if now > self.updated_at:
            decay = math.exp((self.updated_at - now) / self.time_constant)
            self.sums, self.updated_at = [amount * decay for amount in self.sums], now
        return self.sums

    def add(self, now, first, *amounts):
        """Add the amounts to the sums from index `first` on."""
        sums = self.read(now)
        for index, amount in enumerate(amounts, first):
            sums[index] += amount


class AdmissionController:
    """Decides which submissions of one server start, wait, call the dependency or are given up.

    Args:
        settings: The server's `interface.Settings`.
        seed: Not used: no decision is random. Every policy is constructed with the same arguments.
        now: The current moment, in seconds.
    """

    def __init__(self, settings, seed, now):
        self.settings, self.now, self.created_at = settings, now, now
        self.can_interrupt = settings.interruption is not Interruption.UNSUPPORTED
        workload_count = len(settings.workloads)
        # Submissions that have not finished, by id; the actions of the current decision; a count of arrivals.
        self.submissions, self.actions, self.last_sequence_number = {}, [], 0
        # Seconds: a deadline that is closer may pass before the next look at it.
        self.deadline_margin = TIMER_INTERVAL_S + 2 * settings.tick
        self.key_expirations = {}  # id -> moment until which the stored key takes memory
        # Call-seconds that may still be spent at the dependency, and the moment at which that was brought up
        # to date.
        self.call_budget, self.call_budget_updated_at = (
            MAX_CALL_BUDGET_RATIO * settings.call_quota * settings.call_quota_window,
            now,
        )
        # Total seconds and count of calls that succeeded, or ended after the minimum timeout. With a time
        # constant of 10 s the mean follows a change of the dependency, and single calls move it little.
        self.recent_calls = DecayingSums(10.0, 2, now)
        # About the median time of the last few calls, in seconds; those that timed out count as above it.
        self.median_call_time = 0.0
        self.gauges, self.limit_reached = interface.Gauges(), False
        self.overloaded, self.concurrency_limit, self.limit_reduced_at = False, float(settings.cores), now
        self.drain_started_at = self.stop_at = None
        # For each workload: work, time on the cores, time at calls and count of runs. 4 s hold about a dozen
        # runs.
        self.recent_runs = DecayingSums(4.0, 4 * workload_count, now)
        # For each workload, the sums of a regression of run times on cost hints: a count, the logarithm
        # of the hint, that of the time, the square of the first and the product of both. 60 s: estimating a
        # spread takes about a hundred runs.
        self.hint_statistics = DecayingSums(60.0, 5 * workload_count, now)
        # For each workload: work and time of runs that ended with no more runs on the cores than there are
        # cores; this is the baseline. 60 s: a disturbance of half a minute does not become the baseline, a
        # lasting change does.
        self.baseline_runs = DecayingSums(60.0, 2 * workload_count, now)
        self.baseline_speed = self.current_speed = 1.0  # work per second of one run
        # First tries for each tenant; 3 s are enough to show a flood.
        self.tenant_arrivals = DecayingSums(3.0, len(settings.tenants), now)
        # Submissions read, submissions rejected, seconds spent unread. 3 s hold some dozen of them.
        self.arrivals = DecayingSums(3.0, 3, now)
        # What was reported last; an idle time of 0 seconds stands for no limit.
        self.advertised_load, self.healthy, self.idle_time = 0.0, True, 0.0
        # (caller, workload) -> the timeout seen most often and its votes; a shorter one shows a later try.
        self.usual_timeouts = {}
        self.started, self.service_reduction = False, interface.ServiceReduction()

    # ---- the entry point and the state machine

    def decide(self, now, events):
        """Apply all events of a moment, in order, and return the actions to carry out, in order.

        The first call also reports the server as healthy and sets the timer. Events of submissions that have
        finished change nothing. A healthy server without submissions has nothing else to decide.
        """
        self.now, self.actions = now, []
        if not self.started:
            self.started, self.actions = (
                True,
                [interface.Health(True, True), interface.SetTimer(TIMER_INTERVAL_S, 0)],
            )
        for event in events:
            if type(event) in self.SERVER_EVENT_HANDLERS:
                self.SERVER_EVENT_HANDLERS[type(event)](self, event)
            elif event.id in self.submissions:  # an event of a finished submission changes nothing
                self.SUBMISSION_EVENT_HANDLERS[type(event)](self, self.submissions[event.id], event)
        if self.submissions or not self.healthy:  # an idle server has nothing to decide
            self.update_speeds()
            self.start_calls()
            self.start_queued(self.prune_queue(), self.limit_queue_memory())
        return self.actions

    def transition(self, submission, given_input):
        """Apply an input: look it up in the table, change the submission's state and apply the effect.

        Returns False, with nothing changed, where the input does not apply in the submission's state. A call
        that ends is settled against the call budget; a submission that finished is removed.
        """
        found = TRANSITIONS.get((submission.state, given_input))
        if found is None:
            return False
        before, (submission.state, effect) = submission.state, found
        if before == CALLING:
            self.refund_call(submission, given_input)
        if isinstance(effect, str):
            getattr(self, "apply_" + effect)(submission)
        elif effect:
            self.actions.append(effect(submission.id))
        if submission.state == FINISHED:
            self.submissions.pop(submission.id, None)
        return True

    # ---- event handlers

    def on_arrived(self, event):
        """Register a new submission, then coalesce it, give it up at once or store its idempotency key.

        Estimates its cost and its objective deadline, and counts it in the arrivals and, unless it is a
        retry, in those of its tenant. The caller's usual timeout is updated by it.
        """
        workload_settings = self.settings.workloads[event.workload]
        # Hints under 1 ms of a core count as 1 ms, so that the logarithm stays bounded.
        log_hint = math.log(max(1e-3, event.cost_hint)) if event.cost_hint else None
        expected_cost, remaining_time = (
            self.estimate_cost(event.workload, log_hint),
            workload_settings.timeout - event.waited if event.time_left is None else event.time_left,
        )
        # The age of a retry since its first try is what its timeout lacks of its caller's usual one. The
        # usual one is found by majority vote, as single timeouts may differ; those under 20 ms apart count as
        # equal. It holds 20 votes at most, so that a lasting change of the timeout replaces it in time.
        age = 0.0
        if event.time_left is not None:
            caller_timeout = remaining_time + event.waited
            usual_timeout, votes = self.usual_timeouts.pop(
                (event.caller, event.workload), (caller_timeout, 0)
            )
            votes = min(20, votes + 1) if abs(caller_timeout - usual_timeout) < 0.02 else votes - 1
            self.usual_timeouts[event.caller, event.workload] = usual_timeout, votes = (
                (usual_timeout, votes) if votes >= 0 else (caller_timeout, 1)
            )
            age = max(0.0, usual_timeout - caller_timeout)
            if len(self.usual_timeouts) > MAX_USUAL_TIMEOUTS:  # drops the one that was seen the longest ago
                del self.usual_timeouts[next(iter(self.usual_timeouts))]
        self.last_sequence_number, deadline = (
            self.last_sequence_number + 1,
            max(self.now, self.now + remaining_time),
        )
        objective = min(
            workload_settings.latency_objective + workload_settings.objective_stretch * expected_cost,
            workload_settings.timeout,
        )
        submission = SimpleNamespace(
            id=event.id,
            workload=event.workload,
            tenant=event.tenant,
            memory=event.memory,
            duplicate_of=event.duplicate_of,
            sequence_number=self.last_sequence_number,
            timeout_known=event.time_left is not None,
            is_retry=event.is_retry,
            log_hint=log_hint,  # natural logarithm of the cost hint, None without one
            expected_cost=expected_cost,  # work of the whole run
            work_done=0.0,  # work of the run before it was suspended
            arrived_at=self.now - event.waited,
            deadline=deadline,  # the caller gives up
            objective_deadline=min(self.now - event.waited - age + objective, deadline),
            state=QUEUED,
            has_started=False,
            awaits_answer=True,
            is_spare=False,  # see prune_queue
            running_since=self.now,  # set again at every start
            deduplication_ready_in=event.deduplication_ready_in,
            rank=event.rank,
            call_attempts=0,  # of the call requested last
            time_at_calls=0.0,  # seconds, over all calls
            call_started_at=0.0,
            reserved_budget=0.0,  # call-seconds set aside for the call in progress
        )
        self.arrivals.add(self.now, 0, 1, 0, event.waited)
        self.submissions[submission.id] = submission
        if event.tenant is not None and not event.is_retry:
            self.tenant_arrivals.add(self.now, event.tenant, 1)
        if event.duplicate_of is not None and (workload_settings.effect is not Effect.UNREPEATABLE):
            self.transition(submission, COALESCE)
        elif (
            self.is_late_for_drain(submission)
            or self.is_rejected_by_reduction(submission, event.rank)
            or (min(deadline, self.stop_at or deadline) < self.now + self.deadline_margin)
        ):  # the deadline may pass before the next look at it
            self.transition(submission, GIVE_UP)
        elif workload_settings.effect is Effect.DEDUPLICATED or (
            workload_settings.effect is Effect.IDEMPOTENT and self.settings.result_lifetime > 0
        ):
            self.store_key(submission, workload_settings)

    def on_ended(self, submission, event):
        """Apply the end of a run and, if it succeeded, record its cost.

        A cancelled run becomes suspended where its state allows that. A run that could not be recorded counts
        as never started.
        """
        if event.outcome is Outcome.CANCELLED and self.transition(submission, RUN_INTERRUPTED):
            return
        if event.outcome is Outcome.UNSTORED:
            submission.has_started = False
            self.transition(submission, RUN_UNSTORED)
            return
        # Abandoned runs count too, as a stall would never be seen otherwise.
        if submission.state in STATES_ON_CORES and event.outcome is Outcome.DONE:
            self.record_run(submission)
        self.transition(submission, RUN_ENDED)

    def on_caller_gone(self, submission, event):
        """Apply that the caller no longer waits: the submission gets no answer any more."""
        submission.awaits_answer = False
        self.transition(submission, CALLER_GONE)

    def on_call_ended(self, submission, event):
        """Apply the end of a call, and update the mean and the median of call times.

        A call that failed counts only if it took longer than the minimum timeout: that shows a slow
        dependency.
        """
        if event.outcome is Outcome.DONE or event.duration > self.min_call_timeout():
            self.recent_calls.add(self.now, 0, event.duration, 1)
            above = event.outcome is not Outcome.DONE or event.duration > self.median_call_time
            moved = self.median_call_time * (MEDIAN_STEP_FACTOR if above else 1 / MEDIAN_STEP_FACTOR)
            self.median_call_time = (
                min(self.settings.call_quota_window, moved)
                if self.median_call_time
                else event.duration / MEDIAN_STEP_FACTOR
            )
        self.transition(submission, CALL_OUTCOME_INPUTS[event.outcome])

    def is_rejected_by_reduction(self, submission, rank):
        """Return whether the present level of reduced service rejects a new submission; changes nothing.

        It is not called for duplicates that were coalesced.
        """
        reduction = self.service_reduction
        if rank >= 1 - reduction.exempt_share:
            return False
        over_allowance = (
            reduction.within_allowance_only
            and submission.tenant is not None
            and self.share_within_allowance(submission.tenant) < 1.0
        )
        return (
            submission.workload in reduction.rejected_workloads or rank < reduction.min_rank or over_allowance
        )

    def on_level_changed(self, event):
        """Replace the reduction of service that applies to new submissions and to calls."""
        self.service_reduction = event.reduction

    def on_call_quota_changed(self, event):
        """Replace this server's part of the quota of concurrent calls."""
        self.settings = self.settings._replace(call_quota=event.quota)

    def on_drain_started(self, event):
        """Begin to drain: record when that began and when the server stops, and report it as unhealthy."""
        self.drain_started_at, self.stop_at = self.now, self.now + event.time_left
        self.actions.append(interface.Health(False, True))

    def on_timer_fired(self, event):
        """Do the periodic work: expire keys, take over the gauges, give up what is due and report.

        Submissions are given up shortly before their deadline or the server's stop. Under overload also
        running ones past their objective are, where an interruption can free the core and a late answer has
        no value. Also bounds the concurrency limit and sets the timer again.
        """
        self.key_expirations = {
            submission_id: expires_at
            for submission_id, expires_at in self.key_expirations.items()
            if expires_at >= self.now
        }
        self.gauges, self.limit_reached = (
            event.gauges,
            self.count_on_cores() >= math.floor(self.concurrency_limit),
        )
        self.actions.append(interface.SetTimer(TIMER_INTERVAL_S, 0))
        for submission in list(self.submissions.values()):
            answer_by = (
                submission.deadline
                if self.stop_at is None
                else min(submission.deadline, self.stop_at - self.deadline_margin)
            )
            # Half of the time after the deadline in which an answer still counts; none before a stop.
            slack = 0.0 if self.stop_at else 0.5 * self.settings.answer_slack
            if submission.awaits_answer and self.now + self.deadline_margin >= answer_by + slack:
                self.transition(submission, GIVE_UP)
            elif (
                submission.state == RUNNING
                and self.now > submission.objective_deadline
                and self.overloaded
                and self.can_interrupt
                and (not self.settings.workloads[submission.workload].late_value_share)
            ):
                self.transition(submission, GIVE_UP)
        self.concurrency_limit = max(self.settings.cores, min(self.concurrency_limit, self.max_concurrency()))
        self.advertise_load()
        self.report_health()
        self.limit_idle_connections()

    # Handlers of events about the server: (controller, event).
    SERVER_EVENT_HANDLERS = {
        interface.Arrived: on_arrived,
        interface.DrainStarted: on_drain_started,
        interface.TimerFired: on_timer_fired,
        interface.LevelChanged: on_level_changed,
        interface.CallQuotaChanged: on_call_quota_changed,
    }
    # Handlers of events about one submission: (controller, submission, event).
    SUBMISSION_EVENT_HANDLERS = {
        interface.Ended: on_ended,
        interface.CallerGone: on_caller_gone,
        interface.CallEnded: on_call_ended,
        interface.CallRequested: lambda self, submission, event: self.transition(submission, CALL_REQUESTED),
    }

    # ---- effects of transitions

    def apply_start(self, submission):
        """Start or resume the run, and record the moment from which its time counts."""
        submission.has_started, submission.running_since = True, self.now
        self.actions.append(Start(submission.id))

    def apply_reject(self, submission):
        """Reject a submission that never ran, give up its coalesced duplicates and forget its key."""
        duplicates = [
            other
            for other in self.submissions.values()
            if other.duplicate_of == submission.id and other.state == COALESCED
        ]
        for other in duplicates:  # they never ran either
            self.transition(other, GIVE_UP)
        self.apply_forget(submission)
        self.reject(submission)

    def reject(self, submission):
        """Answer with a rejection that says when to retry, and whether other servers may be asked.

        Counts the rejection in the arrivals.
        """
        submission.awaits_answer = False
        self.arrivals.add(self.now, 1, 1)
        received, rejected, _ = self.arrivals.sums
        # The more is rejected, the longer callers should choose other servers: quick rejections attract those
        # that look for the quickest or the least busy server to the one that rejects most.
        retry_after = (
            1.0 if self.stop_at is not None or self.is_degraded() else rejected / max(received, rejected)
        )
        retry_after = max(
            retry_after * self.settings.max_retry_after,
            min(submission.deduplication_ready_in, self.settings.max_retry_after),
        )
        # Other servers likely have room for what few rejections send them, or for what one server rejects
        # because it is degraded itself. Past that, every submission would visit all servers, and each of them
        # pays for reading it.
        others_have_room = (
            self.stop_at is not None
            or rejected < (MAX_RETRY_RATIO_DEGRADED if self.is_degraded() else MAX_RETRY_RATIO) * received
        )
        self.actions.append(Reject(submission.id, retry_after, not others_have_room))

    def apply_reject_duplicate(self, submission):
        """Reject a coalesced duplicate if its original certainly never ran, otherwise fail it."""
        original = self.submissions.get(submission.duplicate_of)
        if original is not None and original.state in (QUEUED, FINISHED) and not original.has_started:
            self.reject(submission)
        else:
            self.apply_fail(submission)

    def apply_forget(self, submission):
        """Release the stored key of a submission that never ran, so that a later try may run."""
        if submission.id in self.key_expirations and not submission.has_started:
            del self.key_expirations[submission.id]
            self.actions.append(Forget(submission.id))

    def apply_fail(self, submission):
        """Answer with a failure, unless the submission was answered already or its caller is gone."""
        if submission.awaits_answer:
            submission.awaits_answer = False
            self.actions.append(Fail(submission.id))

    def apply_fail_running(self, submission):
        """Answer a running submission with a failure, and interrupt its run to free the core."""
        self.apply_fail(submission)
        if self.can_interrupt:
            self.actions.append(Interrupt(submission.id))

    def apply_caller_gone(self, submission):
        """Interrupt the run of a caller that is gone, unless a duplicate may still need its result."""
        duplicate_may_come = (
            self.settings.workloads[submission.workload].effect is Effect.DEDUPLICATED
            and self.now <= submission.objective_deadline
        )
        if self.can_interrupt and not duplicate_may_come:
            self.actions.append(Interrupt(submission.id))

    def apply_record_progress(self, submission):
        """Record the work that a suspended run has done, at most 0.9 of its expected cost.

        A tenth remains, so that a run whose cost was underestimated does not count as free of work.
        """
        submission.work_done = min(
            0.9 * submission.expected_cost,
            submission.work_done + (self.now - submission.running_since) * self.current_speed,
        )

    def apply_request_call(self, submission):
        """Begin to measure the time at this call, with its wait for the budget, and reset its attempts."""
        submission.call_attempts = 0
        # The end of the call adds its moment, which leaves the difference. Until then the sum is negative.
        submission.time_at_calls -= self.now

    def apply_start_call(self, submission):
        """Start the call with a timeout, and reserve the most that it can use of the call budget.

        The most is the timeout and the time that an abandoned call lingers; what is not used is refunded.
        """
        answer_by = (
            self.latest_bypass_time(submission)
            if self.can_bypass_call(submission)
            else self.last_useful_time(submission)
        )
        min_timeout = self.min_call_timeout()
        repeatable = self.settings.workloads[submission.workload].effect is Effect.IDEMPOTENT
        max_timeout = min_timeout * (
            REPEATABLE_CALL_TIMEOUT_FACTOR if repeatable else FINAL_CALL_TIMEOUT_FACTOR
        )
        timeout = (
            max(min_timeout, min(max_timeout, self.call_budget / 2))
            * self.service_reduction.call_timeout_share
        )
        # At least 10 ms, even where the answer is due sooner.
        timeout = max(0.01, min(answer_by - self.now, timeout))
        submission.call_attempts += 1
        submission.reserved_budget = timeout + self.settings.call_linger
        submission.call_started_at, self.call_budget = (
            self.now,
            self.call_budget - submission.reserved_budget,
        )
        self.actions.append(interface.Call(submission.id, timeout))

    def last_useful_time(self, submission):
        """Return the moment after which an answer to the submission has no value."""
        return (
            submission.deadline
            if self.settings.workloads[submission.workload].late_value_share
            else submission.objective_deadline
        )

    def expected_call_time(self):
        """Return the seconds that a call is expected to take.

        This is the decaying mean of ten seconds, or the median of the last few calls where that is longer. A
        call that is never answered moves the median by one step only; it would dominate a mean of so few.
        """
        total_time, count = self.recent_calls.read(self.now)
        # Where next to no recent call is known, 25 ms are assumed.
        return max(total_time / count if count > 0.1 else 0.025, self.median_call_time)

    def min_call_timeout(self):
        """Return the shortest timeout of a call, in seconds: four call times, at least 50 ms.

        A shorter one gives up calls that would have succeeded. It is at most half of what the call budget may
        hold, as more would hardly ever be available.
        """
        max_timeout = 0.5 * (
            MAX_CALL_BUDGET_RATIO * self.settings.call_quota * self.settings.call_quota_window
            - self.settings.call_linger
        )
        return max(
            0.05,
            min(4 * max(self.expected_call_time(), MEDIAN_STEP_FACTOR * self.median_call_time), max_timeout),
        )

    def refund_call(self, submission, given_input):
        """Return what a call did not use of its reservation to the call budget.

        A call that ended has used its time. One that was given up, or that failed with an uncertain result,
        may linger at the dependency as long as the settings say, and that time counts too.
        """
        ended = given_input in (CALL_SUCCEEDED, CALL_NOT_EXECUTED)
        used = self.now - submission.call_started_at + (0.0 if ended else self.settings.call_linger)
        self.call_budget += max(0.0, submission.reserved_budget - used)

    def apply_call_succeeded(self, submission):
        """End the measurement of the time at this call."""
        submission.time_at_calls += self.now

    def apply_bypass_call(self, submission):
        """Let the run continue without its call."""
        self.apply_call_succeeded(submission)
        self.actions.append(interface.BypassCall(submission.id))

    def apply_call_not_executed(self, submission):
        """After a call without effect: give up after the third attempt, otherwise it will be made again."""
        if submission.call_attempts >= 3:
            self.stop_calling(submission)

    def apply_call_uncertain(self, submission):
        """After a call that may have had its effect: an idempotent one is made again once, others never."""
        if (
            self.settings.workloads[submission.workload].effect is not Effect.IDEMPOTENT
            or submission.call_attempts >= 2
        ):
            self.stop_calling(submission)

    def stop_calling(self, submission):
        """Make the call no more: bypass it where an answer without it has value, otherwise give up."""
        self.transition(submission, BYPASS if self.can_bypass_call(submission) else GIVE_UP)

    def can_bypass_call(self, submission):
        """Return whether an answer that was made without the call has any value."""
        return self.settings.workloads[submission.workload].degraded_value_share > 0

    def latest_bypass_time(self, submission):
        """Return the last moment to bypass the call: a whole run from there would end at the objective."""
        return submission.objective_deadline - submission.expected_cost / self.current_speed

    # ---- estimates

    def estimate_cost(self, workload, log_hint):
        """Return the expected cost of a submission of this workload with this logarithm of a hint, or None.

        A hint counts for as much as hints have predicted run times so far: it is weighted by the slope of a
        linear regression of their logarithms, about the workload's mean. Without a hint that mean stands
        alone; before any run all submissions are equal.
        """
        count, sum_x, sum_y, sum_xx, sum_xy = self.hint_statistics.read(self.now)[
            5 * workload : 5 * workload + 5
        ]
        # A prior slope of a half weighs as much as four runs: until runs show better, hints may err as widely
        # as costs vary.
        slope = (
            (sum_xy - sum_x * sum_y / count + 2.0) / (sum_xx - sum_x * sum_x / count + 4.0)
            if count > 1
            else 0.5
        )
        slope = min(1.0, max(0.0, slope))
        # Before any run, a submission without a hint is assumed to cost 0.1 s of a core.
        mean = sum_x / count if count > 0 else log_hint if log_hint is not None else math.log(0.1)
        return math.exp(mean + slope * ((mean if log_hint is None else log_hint) - mean))

    def update_speeds(self):
        """Update the baseline speed and the current speed of one run, from the runs that ended.

        Overdue runs also count, which shows a slow or hung server before they end. A small prior at the
        baseline speed brings the current speed back when no runs end.
        """
        baseline_sums, recent_sums = (
            self.baseline_runs.read(self.now),
            self.recent_runs.read(self.now),
        )
        # In both speeds the prior weighs as much as half a second of runs.
        self.baseline_speed = (sum(baseline_sums[0::2]) + 0.5 * self.warm_up_speed()) / (
            sum(baseline_sums[1::2]) + 0.5
        )
        run_time = sum(recent_sums[1::4])
        # A run is overdue after twice its expected time at the baseline speed; the excess counts.
        for submission in self.submissions.values():
            if submission.state in STATES_ON_CORES:
                run_time += max(
                    0.0,
                    self.now - submission.running_since - 2 * submission.expected_cost / self.baseline_speed,
                )
        # The speed is a divisor, so it never falls to 0.
        self.current_speed = max(
            0.02, (sum(recent_sums[0::4]) + 0.5 * self.baseline_speed) / (run_time + 0.5)
        )

    def remaining_cost(self, submission):
        """Return the expected remaining cost of a run on the cores; below 0 once it is overdue."""
        return (
            submission.expected_cost
            - submission.work_done
            - self.current_speed * (self.now - submission.running_since)
        )

    def warm_up_speed(self):
        """Return the share of its full speed that a server which started cold has at least.

        The speed rises linearly over the warm-up time, or faster.
        """
        if not self.settings.starts_cold or not self.settings.warm_up_time:
            return 1.0
        warmed_up = (self.now - self.created_at) / self.settings.warm_up_time
        return min(1.0, self.settings.cold_start_speed + (1 - self.settings.cold_start_speed) * warmed_up)

    def is_degraded(self):
        """Return whether this server is slower than it should be, so that others can do what it can't."""
        return self.warm_up_speed() < 1.0 or self.runs_are_slow()

    def runs_are_slow(self):
        """Return whether runs get less than half of their baseline speed."""
        return self.current_speed < 0.5 * self.baseline_speed

    def record_run(self, submission):
        """Record a run that succeeded, and adjust the concurrency limit.

        Adds it to the recent runs; to the statistics of hints unless it was suspended; to the baseline unless
        there are more runs on the cores than cores. If the workload's runs take SLOWDOWN_FACTOR times their
        baseline the limit is cut, at most once a second. If cores idle while submissions are queued it rises
        by one.
        """
        # At least 1 ms of time and as much work, so that no quotient of sums divides by 0. The time at calls
        # is negative if the run was abandoned during its call, and counts as 0 then.
        run_time = max(1e-3, self.now - submission.running_since - max(0.0, submission.time_at_calls))
        work = max(1e-3, submission.expected_cost - submission.work_done)
        self.recent_runs.add(
            self.now, 4 * submission.workload, work, run_time, max(0.0, submission.time_at_calls), 1
        )
        if not submission.work_done:
            # Run times under 5 ms count as 5 ms: their logarithms would dominate the regression.
            log_cost, log_run_time = (
                submission.log_hint if submission.log_hint is not None else math.log(run_time),
                math.log(max(5e-3, run_time)),
            )
            self.hint_statistics.add(
                self.now,
                5 * submission.workload,
                1,
                log_cost,
                log_run_time,
                log_cost * log_cost,
                log_cost * log_run_time,
            )
        if self.count_on_cores() <= self.settings.cores:
            self.baseline_runs.add(self.now, 2 * submission.workload, work, run_time)
        work, run_time = self.recent_runs.read(self.now)[
            4 * submission.workload : 4 * submission.workload + 2
        ]
        baseline_work, baseline_run_time = self.baseline_runs.read(self.now)[
            2 * submission.workload : 2 * submission.workload + 2
        ]
        slow = run_time * baseline_work > SLOWDOWN_FACTOR * baseline_run_time * work
        if slow and self.concurrency_limit > self.settings.cores and self.now - self.limit_reduced_at > 1.0:
            self.concurrency_limit, self.limit_reduced_at = (
                max(self.settings.cores, self.concurrency_limit * LIMIT_REDUCTION_FACTOR),
                self.now,
            )
        elif self.cores_are_idle() and any(other.state == QUEUED for other in self.submissions.values()):
            # Once per timer event: a hundred runs may end between two of them.
            self.concurrency_limit, self.limit_reached = self.concurrency_limit + 1, False

    def cores_are_idle(self):
        """Return whether cores were idle at the last timer event though the limit was reached.

        Only then does one more run help. The gauge of the moment is preferred: the mean one lags half a
        second and lets the limit overshoot.
        """
        readings = self.gauges
        # A share of the cores; above 0.9 they count as busy.
        idle_on_average = readings.busy is not None and readings.busy < 0.9
        return self.limit_reached and (
            idle_on_average if readings.runnable is None else readings.runnable < self.settings.cores
        )

    def priority(self, submission):
        """Return the submission's value per unit of work, by which the queue is pruned.

        It is lower for what its tenant likely sends beyond its allowance. The other servers are not seen, so
        this server's part of the allowance is an even one.
        """
        value = self.settings.workloads[submission.workload].value
        if submission.tenant is not None:
            within_allowance = self.share_within_allowance(submission.tenant)
            value *= within_allowance + (1 - within_allowance) * self.settings.over_allowance_value
        if submission.is_retry and not submission.timeout_known:
            value *= 0.5  # of unknown age: it is assumed that half of them can no longer meet their objective
        # Costs under 1 ms of a core count as 1 ms, so that the quotient stays bounded.
        return value if self.settings.value_per_unit_of_work else value / max(1e-3, submission.expected_cost)

    def share_within_allowance(self, tenant):
        """Return the share of what a tenant likely sends that is within its allowance, 1.0 at most."""
        # First tries per second; at least 1e-3, as it is a divisor.
        rate = self.tenant_arrivals.read(self.now)[tenant] / self.tenant_arrivals.time_constant
        return min(
            1.0,
            self.settings.tenants[tenant].allowance / max(1, self.settings.servers) / max(1e-3, rate),
        )

    # ---- steps of a decision

    def is_late_for_drain(self, submission):
        """Return whether the submission arrived too late after the drain began to be started."""
        return (
            self.drain_started_at is not None
            and submission.arrived_at > self.drain_started_at + self.settings.drain_grace - self.settings.tick
        )

    def memory_in_use(self):
        """Return the memory that submissions and stored keys are expected to take."""
        waiting_states, run_factor = (QUEUED, COALESCED), self.settings.run_memory_factor
        submission_memory = sum(
            submission.memory * (1.0 if submission.state in waiting_states else run_factor)
            for submission in self.submissions.values()
        )
        return len(self.key_expirations) * self.settings.key_memory + submission_memory

    def store_key(self, submission, workload_settings):
        """Store the idempotency key of a new submission for as long as duplicates may come, if there is room.

        Without room a deduplicated submission is given up: without a key a duplicate could run it twice. The
        key of an idempotent one, which only saves work, is left out.
        """
        lifetime = (
            workload_settings.deduplication_window - (self.now - submission.arrived_at)
            if workload_settings.effect is Effect.DEDUPLICATED
            else (self.settings.result_lifetime + max(0.0, submission.deadline - self.now))
        )
        has_room = (
            not submission.deduplication_ready_in
            and self.memory_in_use() + self.settings.key_memory <= MAX_RUN_MEMORY_RATIO * self.settings.memory
        )
        if has_room and lifetime > 0:
            lifetime += 2 * self.settings.tick
            self.key_expirations[submission.id] = self.now + lifetime
            self.actions.append(StoreKey(submission.id, lifetime))
        elif workload_settings.effect is Effect.DEDUPLICATED:  # never run without a key
            self.transition(submission, GIVE_UP)

    def count_on_cores(self):
        """Return the number of runs on the cores, abandoned ones included."""
        return len(
            [submission for submission in self.submissions.values() if submission.state in STATES_ON_CORES]
        )

    def max_concurrency(self):
        """Return the largest number of runs at a time that the concurrency limit may reach.

        It is at least 1: every server survives one run, as there is a core for it, and a lower bound would
        keep small servers from starting anything.
        """
        return max(
            1.0,
            SAFE_CONCURRENCY_RATIO
            * self.settings.cores
            * (1 + (self.settings.max_concurrency_per_core - 1) * self.warm_up_speed()),
        )

    def start_order(self):
        """Update the overload mode, and return queued and suspended submissions in the order of their start.

        Under overload this is the least expected remaining cost first, otherwise the order of arrival.
        """
        waiting = [
            submission for submission in self.submissions.values() if submission.state in (QUEUED, SUSPENDED)
        ]
        job_count = len(waiting) + [submission.state for submission in self.submissions.values()].count(
            RUNNING
        )
        self.overloaded = (
            job_count
            > (OVERLOAD_LEAVE_PER_CORE if self.overloaded else OVERLOAD_ENTER_PER_CORE) * self.settings.cores
        )
        return sorted(
            waiting,
            key=lambda submission: (
                (submission.expected_cost - submission.work_done) * self.overloaded,
                submission.sequence_number,
            ),
        )

    def prune_queue(self):
        """Give up queued submissions that would be late, and return the queue in the order of its start.

        The order still holds those that were given up; starting one of them has no effect. Walks the queue in
        that order. Where a submission would miss its objective, the one of the least priority up to there
        goes, the largest first among equals. One whose timeout is known stays as a spare, to start after all
        others, while it could still meet its objective alone; there are SPARES_PER_CORE of them at most.
        While the server is neither overloaded nor degraded nothing is predicted, and only submissions past
        their objective are pruned. The first queued submission of a server without runs stays until its
        objective has passed, as a probe of the server's speed.
        """
        speed, kept, order, recent_sums = (
            self.current_speed,
            [],
            self.start_order(),
            self.recent_runs.read(self.now),
        )
        total_speed = speed * max(self.concurrency_limit, self.settings.cores)
        # A run that is overdue counts with a tenth of its expected cost, as its end is still to come.
        work_ahead = sum(
            max(0.1 * submission.expected_cost, self.remaining_cost(submission))
            for submission in self.submissions.values()
            if submission.state in STATES_ON_CORES
        )
        running_work, idle, spares_left = (
            work_ahead,
            self.count_on_cores() == 0,
            SPARES_PER_CORE * self.settings.cores,
        )
        predicts = self.overloaded or self.is_degraded()
        for submission in order:
            if submission.state == SUSPENDED:
                work_ahead += submission.expected_cost - submission.work_done
                continue
            kept.append(submission)
            work_ahead, submission.is_spare, submission.prune_key = (
                work_ahead + submission.expected_cost,
                False,
                (self.priority(submission), -submission.expected_cost),
            )
            time_at_calls, count = recent_sums[4 * submission.workload + 2 : 4 * submission.workload + 4]
            # Seconds at calls per run, once at least half a run is left in the decaying sums.
            call_time = time_at_calls / count if count > 0.5 and not self.can_bypass_call(submission) else 0.0
            while True:
                finishes_in = (
                    max(
                        work_ahead / total_speed,
                        (work_ahead - running_work - submission.expected_cost) / total_speed
                        + submission.expected_cost / speed,
                    )
                    + call_time
                )
                is_probe = idle and len(kept) == 1 and self.now < submission.objective_deadline
                if (
                    self.now + FINISH_TIME_FACTOR * finishes_in * predicts <= submission.objective_deadline
                    or is_probe
                ):
                    break
                victim = min(kept, key=lambda candidate: candidate.prune_key)
                kept.remove(victim)
                work_ahead -= victim.expected_cost
                victim.is_spare, spares_left = True, spares_left - 1
                if (
                    not victim.timeout_known
                    or spares_left < 0
                    or self.now + FINISH_TIME_FACTOR * victim.expected_cost / speed
                    > victim.objective_deadline
                ):
                    self.transition(victim, GIVE_UP)
                if victim is submission:
                    break
        return sorted(order, key=lambda submission: submission.is_spare)

    def start_queued(self, order, used_memory):
        """Start submissions in this order, up to the concurrency limit and while there is memory for them.

        Where the limit is reached under overload and runs can be suspended, a much smaller submission may
        take the place of the largest run.
        """
        running = self.count_on_cores()
        max_running = min(math.floor(self.concurrency_limit), self.max_concurrency())
        for submission in order:
            if running + 1 > max_running:
                break
            memory_growth = (
                submission.memory * (self.settings.run_memory_factor - 1)
                if submission.state == QUEUED
                else 0.0
            )
            if (
                used_memory + memory_growth > MAX_RUN_MEMORY_RATIO * self.settings.memory
                or self.is_late_for_drain(submission)
            ):
                continue
            if self.transition(submission, START_RUN):
                running, used_memory = running + 1, used_memory + memory_growth
        if (
            self.settings.interruption is Interruption.SUSPEND
            and self.overloaded
            and running + 1 > max_running
        ):
            self.suspend_largest_for([submission for submission in order if submission.state == QUEUED])

    def suspend_largest_for(self, queued):
        """Suspend the run with the largest remaining cost if the first queued submission costs far less.

        Far less is under a quarter of what remains. The run has to meet its objective nonetheless, and the
        number of suspended runs stays low: a new one is added only while there is less than one for every
        four cores.
        """
        suspended = sum(submission.state == SUSPENDED for submission in self.submissions.values())
        runs = [
            submission
            for submission in self.submissions.values()
            if submission.state == RUNNING and submission.awaits_answer
        ]
        if queued and runs and suspended * 4 < self.settings.cores:
            largest = max(runs, key=self.remaining_cost)
            remaining = self.remaining_cost(largest)
            # It likely meets its objective if twice its remaining time and half a second more fit in.
            if (
                queued[0].expected_cost < 0.25 * remaining
                and self.now + 2 * remaining / self.current_speed + 0.5 < largest.objective_deadline
            ):
                self.transition(largest, SUSPEND_RUN)

    def limit_queue_memory(self):
        """Give up queued submissions, largest first, until there is memory left to start those that stay.

        Returns the memory in use afterwards.
        """
        used_memory, max_memory = self.memory_in_use(), MAX_QUEUE_MEMORY_RATIO * self.settings.memory
        if used_memory > max_memory:
            for submission in sorted(self.submissions.values(), key=lambda submission: -submission.memory):
                if used_memory > max_memory and submission.state == QUEUED:
                    used_memory -= submission.memory
                    self.transition(submission, GIVE_UP)
        return used_memory

    def start_calls(self):
        """Bring the call budget up to date, then start, bypass or give up the calls that wait for it.

        Keeps the calls of this server within its quota over every window.
        """
        quota, window = self.settings.call_quota, self.settings.call_quota_window
        earned = CALL_BUDGET_RATE * quota * (self.now - self.call_budget_updated_at)
        self.call_budget, self.call_budget_updated_at = (
            min(MAX_CALL_BUDGET_RATIO * quota * window, self.call_budget + earned),
            self.now,
        )
        required, call_time = (
            self.min_call_timeout() + self.settings.call_linger,
            self.expected_call_time(),
        )
        # What calls in progress have reserved beyond their expected time is refunded soon.
        budget_soon = self.call_budget + sum(
            max(0.0, submission.reserved_budget - call_time)
            for submission in self.submissions.values()
            if submission.state == CALLING
        )
        # Runs that can't bypass their call come first, as a slow dependency leaves budget for few. Of the
        # others, one that would wait for longer than a call may take bypasses it at once, as its core idles
        # meanwhile.
        waiting = [
            submission for submission in self.submissions.values() if submission.state == AWAITING_CALL
        ]
        for submission in sorted(
            waiting,
            key=lambda submission: (self.can_bypass_call(submission), submission.objective_deadline),
        ):
            must_bypass = (
                submission.workload in self.service_reduction.bypass_call
                and submission.rank < 1 - self.service_reduction.exempt_share
            )
            wait = (required - budget_soon) / (CALL_BUDGET_RATE * quota) if budget_soon < required else 0.0
            if self.can_bypass_call(submission) and (
                must_bypass or wait > required or self.now + wait >= self.latest_bypass_time(submission)
            ):
                self.transition(submission, BYPASS)
                continue
            if not self.can_bypass_call(submission) and self.now + wait + call_time > self.last_useful_time(
                submission
            ):
                self.transition(submission, GIVE_UP)
                continue
            if self.call_budget >= required:
                self.transition(submission, START_CALL)
            budget_soon -= call_time

    def advertise_load(self):
        """Update the advertised load from the ratio of rejected submissions, and report it if it changed.

        Callers send nothing that ranks below it: this moves lower ranks away from a hot server before they
        are read, and stops them where all servers are overloaded. It moves slowly and is capped at 0.5, as a
        quick one would sustain itself by its own effect and keep work from servers that are idle again.
        """
        received, rejected, _ = self.arrivals.read(self.now)
        rise = rejected / received - ADVERTISE_REJECTION_RATIO if received > 1 else -ADVERTISE_REJECTION_RATIO
        # The load moves by 0.1 per second at most, if the ratio is 0.2 or more off ADVERTISE_REJECTION_RATIO.
        load = min(
            0.5, max(0.0, self.advertised_load + 0.1 * TIMER_INTERVAL_S * max(-1.0, min(1.0, 5 * rise)))
        )
        if self.settings.load_advertisement is interface.LoadAdvertisement.LEVEL and round(load, 2) != round(
            self.advertised_load, 2
        ):
            self.actions.append(interface.AdvertiseLoad(round(load, 2)))
        self.advertised_load = load

    def report_health(self):
        """Update the health, and report it if it changed and the server does not drain.

        A server is unhealthy while it stalls: it reads late, and runs get less than half of their baseline
        speed. This guards against slow, hung and frozen machines; overload alone does not slow runs so much.
        It does harm where all servers stall at once.
        """
        # Received submissions and their waiting time decay alike, so that their quotient would never change
        # on a server that receives nothing more. The added 0.2 submissions let it become healthy again.
        received, _, waited = self.arrivals.read(self.now)
        healthy = waited <= STALL_WAIT_S * (received + 0.2) or not self.runs_are_slow()
        if healthy != self.healthy and self.stop_at is None:
            self.actions.append(interface.Health(healthy, True))
        self.healthy = healthy

    def limit_idle_connections(self):
        """Update the time after which idle connections are closed, and report it if it changed.

        It is short while more connections are open than are used every CONNECTION_USE_INTERVAL_S. This guards
        the connection table, which callers that rarely send would fill, and saves its cost. It does harm
        where opening a connection is expensive and the table is large.
        """
        max_connections = max(
            HARMLESS_CONNECTIONS_PER_CORE * self.settings.cores,
            CONNECTION_USE_INTERVAL_S * self.arrivals.read(self.now)[0] / self.arrivals.time_constant,
        )
        idle_time = SHORT_IDLE_TIME_S if (self.gauges.connections or 0) > max_connections else 0.0
        if idle_time != self.idle_time:
            self.actions.append(interface.CloseIdleConnections(idle_time))
        self.idle_time = idle_time

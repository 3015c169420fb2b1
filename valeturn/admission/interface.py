"""The contract of the decision module: the settings, events and actions of `AdmissionController`; types only.

The host (the dispatcher of a server, or the simulator adapter) constructs the controller with `Settings`,
passes it the events of each moment, in order, and carries out the actions that it returns, in order.

A submission is one attempt of a caller to have one piece of work of a workload done. Its `id` is a number
that the host chooses; events and actions refer to it. A run is one execution of a submission by the executor.
A run may wait at a point where it needs a call on the dependency that all servers share.

Durations are in seconds with fractions and memory is in kilobytes. Workloads and tenants are referred to by
their indices in the settings.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class Effect(Enum):
    """What it means for the work of a workload to run more than once."""

    IDEMPOTENT = "may run again"
    DEDUPLICATED = "must not run twice; repeats are recognized by their idempotency key"
    UNREPEATABLE = "must never run twice"  # and repeats cannot be recognized


class Interruption(Enum):
    """What the executor can do with a run that is to stop before its end."""

    UNSUPPORTED = "a run cannot be stopped"
    CANCEL = "a stopped run loses its progress"
    SUSPEND = "a stopped run can be resumed later"


class LoadAdvertisement(Enum):
    """How callers interpret the value of `AdvertiseLoad`, which accompanies every answer."""

    DISABLED = "no value is advertised"
    LEVEL = "callers send nothing ranked below the value"
    CREDIT = "callers keep at most that many submissions open at this server"
    WEIGHT = "probability that a caller does not skip this server"


class Outcome(Enum):
    """How a run or a call on the dependency ended. The member names are part of counter names."""

    DONE = "succeeded"
    ERROR = "failed, or may have had its effect"
    REFUSED = "rejected before any processing"
    TIMED_OUT = "timed out, may have had its effect"
    UNREACHED = "the peer was not reached"
    RESET = "connection lost, may have had its effect"
    CANCELLED = "stopped"
    MOOT = "was over before it started"
    UNSTORED = "not started, as the intent to run it could not be stored first"


class Workload(NamedTuple):
    """A kind of work that callers submit, with its time limits and its value."""

    name: str  # as submissions give it
    effect: Effect  # whether its work may run more than once
    latency_objective: float  # seconds after reaching the machine within which an answer has its full value
    timeout: float  # seconds after reaching the machine when the caller gives up, unless the submission says
    value: float  # of an answer within the latency objective; the unit is the same for all workloads
    late_value_share: float = 0.0  # of the value, for an answer between latency objective and timeout
    objective_stretch: float = 0.0  # the objective is extended by this many times the submission's own work
    deduplication_window: float = 0.0  # seconds in which repeats of a deduplicated submission may arrive
    makes_call: bool = False  # its runs call the shared dependency
    degraded_value_share: float = 0.0  # of the value, for an answer made without the call; 0: not possible


class Tenant(NamedTuple):
    """A customer on whose behalf callers submit work."""

    name: str  # as submissions give it
    allowance: float  # submissions per second, over all servers


class Settings(NamedTuple):
    """The fixed properties of a deployment and of one server in it."""

    workloads: tuple[Workload, ...]  # events refer to them by index
    tenants: tuple[Tenant, ...] = ()  # events refer to them by index
    servers: int = 1  # in the fleet; each counts on an equal part of a tenant's allowance
    cores: int = 1  # of this server
    memory: float = float("inf")  # kilobytes that submissions and stored keys may take together
    run_memory_factor: float = 1.0  # memory of a started submission, as a multiple of what it took queued
    key_memory: float = 0.0  # kilobytes that each stored key takes
    interruption: Interruption = Interruption.UNSUPPORTED  # what the executor can do with a started run
    load_advertisement: LoadAdvertisement = LoadAdvertisement.DISABLED  # what callers do with the load value
    tick: float = 0.0  # seconds; shortest time between two batches of events, and so between two decisions
    answer_slack: float = 0.0  # seconds after a submission's timeout in which an answer still counts
    drain_grace: float = 0.0  # seconds after DrainStarted: what reaches the machine later must not be started
    max_concurrency_per_core: float = 1.0  # running submissions per core that a warm server survives
    starts_cold: bool = False  # the server is slow at first and speeds up over the warm-up time
    cold_start_speed: float = 1.0  # least share of the full speed right after a cold start
    warm_up_time: float = 0.0  # seconds from a cold start to full speed
    call_quota: float = float("inf")  # calls of this server at the dependency at once, on average
    call_quota_window: float = 0.0  # seconds over which that average is taken
    call_linger: float = 0.0  # seconds for which a call that was given up still counts against the quota
    result_lifetime: float = 0.0  # seconds for which an idempotent result may answer repeats; 0: never
    max_retry_after: float = 0.0  # seconds; the longest delay that a rejection may ask for, 0: none
    value_per_unit_of_work: bool = False  # a workload's value counts for each unit of work, not each answer
    over_allowance_value: float = 1.0  # factor on the value of what a tenant sends beyond its allowance


class Gauges(NamedTuple):
    """Measurements of the server; None where there is no such gauge, or its reading is too old."""

    busy: float | None = None  # share of the cores in use, a mean over the recent past
    runnable: float | None = None  # tasks that run or wait for a core right now
    memory: float | None = None  # share of the memory in use
    connections: float | None = None  # open connections


# Events


class Arrived(NamedTuple):
    """A submission has been read. It needs one final answer, unless its caller is gone before."""

    id: int  # the new submission; a number not used before
    workload: int  # index into the settings
    tenant: int | None = None  # index into the settings; None: none that the settings list
    waited: float = 0.0  # seconds since it reached the machine
    rank: float = 0.0  # importance, from 0 up to but not including 1
    is_retry: bool = False  # the caller has submitted the same work before
    subject: str | None = None  # what an idempotent (read) submission is about; writes have none
    caller: int = 0  # number of the caller
    memory: float = 0.0  # kilobytes that it takes while it is queued
    time_left: float | None = None  # seconds until its caller gives up; None: not known
    duplicate_of: int | None = None  # id of the submission that it repeats, 0 where only the store knows it
    cost_hint: float | None = None  # seconds of one core that the caller estimates for the work
    deduplication_ready_in: float = 0.0  # seconds until its key could be stored; 0: now


class Ended(NamedTuple):
    """A run has ended, or was found not to have started."""

    id: int  # the submission; after CANCELLED it may be started again
    outcome: Outcome  # how the run ended
    duration: float  # seconds that the run took, 0 where that is unknown


class CallerGone(NamedTuple):
    """The caller has cancelled the submission or lost its connection: no answer is due any more."""

    id: int  # the submission


class CallRequested(NamedTuple):
    """A run waits for its call on the dependency: `Call` or `BypassCall` lets it go on."""

    id: int  # the submission


class CallEnded(NamedTuple):
    """A call has ended. After an outcome other than DONE the run still waits."""

    id: int  # the submission
    outcome: Outcome  # how the call ended
    duration: float  # seconds that the call took


class DrainStarted(NamedTuple):
    """The server is about to stop. What is open has to be answered by then."""

    time_left: float  # seconds until the process ends


class ServiceReduction(NamedTuple):
    """What the server gives up at a level of degraded service. What has started is not affected."""

    bypass_call: frozenset = frozenset()  # indices of workloads whose runs go on without their call at once
    call_timeout_share: float = 1.0  # of the timeout that a call has at normal service
    within_allowance_only: bool = False  # reject new submissions of a tenant that exceeds its allowance
    min_rank: float = 0.0  # reject new submissions of a lower rank
    rejected_workloads: frozenset = frozenset()  # indices of workloads whose new submissions are rejected
    exempt_share: float = 0.0  # of all submissions, from the highest rank down: none of this applies


class LevelChanged(NamedTuple):
    """From now on another level of service applies."""

    reduction: ServiceReduction  # replaces the one before


class CallQuotaChanged(NamedTuple):
    """From now on another quota of calls on the dependency applies."""

    quota: float  # calls of this server at once, on average; replaces `Settings.call_quota`


class TimerFired(NamedTuple):
    """A timer that `SetTimer` set has expired."""

    timer: int  # as given to SetTimer
    gauges: Gauges  # as measured just before


# Actions


class Start(NamedTuple):
    """Start a run of a submission, or resume its suspended run."""

    id: int  # the submission


class Interrupt(NamedTuple):
    """Stop a run, as `Settings.interruption` allows. The host reports `Ended`."""

    id: int  # the submission


class Reject(NamedTuple):
    """Answer that the submission was not run, so that the caller may submit it again."""

    id: int  # the submission
    retry_after: float = 0.0  # seconds for which the caller is asked to avoid this server; 0: not asked to
    final: bool = False  # the caller should not try another server either


class Fail(NamedTuple):
    """Answer that the submission failed. It may have had its effect."""

    id: int  # the submission


class Call(NamedTuple):
    """Make the call on the dependency that a run waits for. The host reports `CallEnded`."""

    id: int  # the submission
    timeout: float  # seconds after which the call is given up


class BypassCall(NamedTuple):
    """Let a run that waits for its call go on without it, towards a degraded answer."""

    id: int  # the submission


class StoreKey(NamedTuple):
    """Store the submission's key, so that repeats of it are recognized."""

    id: int  # the submission
    lifetime: float  # seconds for which the key is to be kept


class Forget(NamedTuple):
    """Remove the stored key of a submission that has never run."""

    id: int  # the submission


class AnswerFromOriginal(NamedTuple):
    """Answer a repeat with the result of the submission that it repeats, once there is one."""

    id: int  # the repeat


class Health(NamedTuple):
    """Set how the server answers health checks and is listed in the name service."""

    healthy: bool  # whether the server wants new submissions
    shallow: bool  # answer deep checks from `healthy` alone, without asking the executor


class AdvertiseLoad(NamedTuple):
    """Set the load value that accompanies answers."""

    value: float  # its meaning depends on `Settings.load_advertisement`


class CloseIdleConnections(NamedTuple):
    """Set how long a connection without open submissions may stay open."""

    idle_time: float  # seconds; 0: without limit


class SetTimer(NamedTuple):
    """Ask for a `TimerFired` event."""

    delay: float  # seconds from now
    timer: int  # returned in the event, to distinguish timers


class Trace(NamedTuple):
    """Write a line to the log."""

    text: str  # the line

"""What the decision module is told and what it answers: types only.

Times are seconds with fractions, memory is in kilobytes, ids are whatever the front uses.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class Effect(Enum):
    IDEMPOTENT = "may run again"
    DEDUPLICATED = "repeats are known by a mark"
    UNREPEATABLE = "must never run twice"


class Interruption(Enum):
    UNSUPPORTED = "work cannot be stopped"
    CANCEL = "stopped work is lost"
    SUSPEND = "stopped work can go on later"


class LoadAdvertisement(Enum):
    DISABLED = "there is no free value"
    LEVEL = "callers send nothing ranked below the value"
    CREDIT = "callers keep at most that many submissions out"
    WEIGHT = "chance that a caller does not skip this server"


class Outcome(Enum):
    DONE = "succeeded"
    ERROR = "failed, or may have had its effect"
    REFUSED = "turned back unseen"
    TIMED_OUT = "given up, may have had its effect"
    UNREACHED = "never got there"
    RESET = "cut off, may have had its effect"
    CANCELLED = "stopped"
    MOOT = "was over before it started"
    UNSTORED = "never begun, as it could not be noted down first"


class Workload(NamedTuple):
    name: str
    effect: Effect
    latency_objective: float
    timeout: float
    value: float
    late_value_share: float = 0.0  # of the value, for an answer between latency objective and timeout
    objective_stretch: float = 0.0  # the goal grows by this many times the submission's own work
    deduplication_window: float = 0.0  # how long repeats of a deduplicated submission may come
    makes_call: bool = False
    degraded_value_share: float = 0.0  # of the value, for an answer made without the call


class Tenant(NamedTuple):
    name: str
    allowance: float  # submissions per second, over all servers


class Settings(NamedTuple):
    workloads: tuple[Workload, ...]
    tenants: tuple[Tenant, ...] = ()
    servers: int = 1
    cores: int = 1
    memory: float = float("inf")
    run_memory_factor: float = 1.0
    key_memory: float = 0.0
    interruption: Interruption = Interruption.UNSUPPORTED
    load_advertisement: LoadAdvertisement = LoadAdvertisement.DISABLED
    tick: float = 0.0
    answer_slack: float = 0.0
    drain_grace: float = 0.0
    max_concurrency_per_core: float = 1.0  # running submissions a core that a warm server survives
    starts_cold: bool = False
    cold_start_speed: float = 1.0  # least share of its speed at a cold start
    warm_up_time: float = 0.0
    call_quota: float = float("inf")
    call_quota_window: float = 0.0
    call_linger: float = 0.0
    result_lifetime: float = 0.0
    max_retry_after: float = 0.0
    value_per_unit_of_work: bool = False  # value counts per unit of work
    over_allowance_value: float = 1.0


class Gauges(NamedTuple):
    busy: float | None = None  # share of the cores in use lately
    runnable: float | None = None  # all that wants a core now
    memory: float | None = None
    connections: float | None = None


# Events


class Arrived(NamedTuple):
    id: int
    workload: int  # index into the settings
    tenant: int | None = None
    waited: float = 0.0  # since it reached the machine
    rank: float = 0.0
    is_retry: bool = False
    subject: str | None = None
    caller: int = 0
    memory: float = 0.0
    time_left: float | None = None  # until its caller gives up
    duplicate_of: int | None = None
    cost_hint: float | None = None
    deduplication_ready_in: float = 0.0  # until a repeat of it could be told apart; 0: now


class Ended(NamedTuple):
    id: int
    outcome: Outcome
    duration: float


class CallerGone(NamedTuple):
    id: int


class CallRequested(NamedTuple):
    id: int


class CallEnded(NamedTuple):
    id: int
    outcome: Outcome
    duration: float


class DrainStarted(NamedTuple):
    time_left: float


class ServiceReduction(NamedTuple):
    """What is given up at a level of reduced service. None of it touches what has started."""

    bypass_call: frozenset = frozenset()  # workloads that go on without their call at once
    call_timeout_share: float = 1.0  # share of the wait that a call else has
    within_allowance_only: bool = False  # newcomers of a tenant beyond its share are turned back
    min_rank: float = 0.0  # and those that rank below
    rejected_workloads: frozenset = frozenset()  # and those of these workloads
    exempt_share: float = 0.0  # share of all, from the highest rank down, that none of this touches


class LevelChanged(NamedTuple):
    reduction: ServiceReduction


class CallQuotaChanged(NamedTuple):
    """Calls out that this server may have of all at the dependency, from now on."""

    quota: float


class TimerFired(NamedTuple):
    timer: int
    gauges: Gauges


# Actions


class Start(NamedTuple):
    id: int


class Interrupt(NamedTuple):
    id: int


class Reject(NamedTuple):
    id: int
    retry_after: float = 0.0
    final: bool = False


class Fail(NamedTuple):
    id: int


class Call(NamedTuple):
    id: int
    timeout: float


class BypassCall(NamedTuple):
    id: int


class StoreKey(NamedTuple):
    id: int
    lifetime: float


class Forget(NamedTuple):
    id: int


class AnswerFromOriginal(NamedTuple):
    id: int


class Health(NamedTuple):
    healthy: bool
    shallow: bool


class AdvertiseLoad(NamedTuple):
    value: float


class CloseIdleConnections(NamedTuple):
    idle_time: float


class SetTimer(NamedTuple):
    delay: float
    timer: int


class Trace(NamedTuple):
    text: str

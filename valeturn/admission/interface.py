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


class Halting(Enum):
    OFF = "work cannot be stopped"
    DROP = "stopped work is lost"
    PAUSE = "stopped work can go on later"


class Saying(Enum):
    OFF = "there is no free value"
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
    latency_goal: float
    cut_off: float
    revenue: float
    late_share: float = 0.0  # of the revenue, for an answer between latency goal and cut-off
    goal_stretch: float = 0.0  # the goal grows by this many times the submission's own work
    window: float = 0.0  # how long repeats of a deduplicated submission may come
    calls: bool = False
    poorer_share: float = 0.0  # of the revenue, for an answer made without the call


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
    halting: Halting = Halting.OFF
    saying: Saying = Saying.OFF
    tick: float = 0.0
    answer_slack: float = 0.0
    drain_grace: float = 0.0
    crowd_factor: float = 1.0  # running submissions a core that a warm server survives
    cold: bool = False
    cold_speed: float = 1.0  # least share of its speed at a cold start
    cold_time: float = 0.0
    calls_share: float = float("inf")
    calls_window: float = 0.0
    call_linger: float = 0.0
    fresh_for: float = 0.0
    longest_advice: float = 0.0
    by_work: bool = False  # revenue counts per unit of work
    over_share_worth: float = 1.0


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
    retry: bool = False
    subject: str | None = None
    caller: int = 0
    memory: float = 0.0
    left: float | None = None  # until its caller gives up
    repeats: int | None = None
    cost_hint: float | None = None
    room_in: float = 0.0  # until a repeat of it could be told apart; 0: now


class Ended(NamedTuple):
    id: int
    outcome: Outcome
    took: float


class Gone(NamedTuple):
    id: int


class AtCall(NamedTuple):
    id: int


class CallEnded(NamedTuple):
    id: int
    outcome: Outcome
    took: float


class Leave(NamedTuple):
    left: float


class Reduced(NamedTuple):
    """What is given up at a level of reduced service. None of it touches what has started."""

    without_call: frozenset = frozenset()  # workloads that go on without their call at once
    call_wait: float = 1.0  # share of the wait that a call else has
    within_share: bool = False  # newcomers of a tenant beyond its share are turned back
    least_rank: float = 0.0  # and those that rank below
    turn_back: frozenset = frozenset()  # and those of these workloads
    spared: float = 0.0  # share of all, from the highest rank down, that none of this touches


class Level(NamedTuple):
    gives: Reduced


class CallsShare(NamedTuple):
    """Calls out that this server may have of all at the dependency, from now on."""

    share: float


class Woken(NamedTuple):
    mark: int
    gauges: Gauges


# Actions


class Start(NamedTuple):
    id: int


class Halt(NamedTuple):
    id: int


class TurnBack(NamedTuple):
    id: int
    retry_in: float = 0.0
    final: bool = False


class WriteOff(NamedTuple):
    id: int


class Call(NamedTuple):
    id: int
    wait: float


class GoWithout(NamedTuple):
    id: int


class Remember(NamedTuple):
    id: int
    lasting: float


class Forget(NamedTuple):
    id: int


class AnswerFrom(NamedTuple):
    id: int


class Health(NamedTuple):
    good: bool
    shallow: bool


class Say(NamedTuple):
    value: float


class CloseIdle(NamedTuple):
    after: float


class Wake(NamedTuple):
    after: float
    mark: int


class Note(NamedTuple):
    text: str

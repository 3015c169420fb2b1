"""The singleton tasks of a cluster on one server: whether it holds a task, and when its command runs. No I/O.

A task is held in the term of a leader: a grant that was committed in an earlier term is not valid in this
one, even if the leader is the same, as another server may have acted in between. The fencing token of a held
task is the number of its grant.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from .task_options import RUN, SingletonTaskOptions

# Seconds between requests for a grant: a grant takes two round trips to be committed.
GRANT_REQUEST_INTERVAL_S = 1.0
# Seconds until a failed command is started again, where its options give no interval.
RETRY_INTERVAL_S = 5.0
# The time of the last request before the first one, so that the first is always due.
NEVER = -1e9


class TaskState(Enum):
    """Whether this server holds a task. The values are shown by `valeturn fleet status`."""

    NOT_HELD = "elsewhere"
    REQUESTED = "asked for"
    HELD = "held"


class TaskInput(Enum):
    """The inputs of a task's state."""

    LEADING = "this server is the leader"
    GRANTED = "a grant to this server was committed in its term"
    LEADERSHIP_LOST = "this server is not the leader any more, or leads in another term"
    REMOVED = "the operator's file does not have the task any more"


class CommandState(Enum):
    """The state of a task's command. The values are shown by `valeturn fleet status`."""

    WAITING = "waiting"
    RUNNING = "running"
    STOPPING = "being stopped"
    DONE = "done"


class CommandInput(Enum):
    """The inputs of a command's state."""

    DUE = "the task is held and the command is to start"
    ENDED = "the command and all that it started are gone"
    RELEASED = "the task is not held any more, or the server shuts down"
    OVERDUE = "the command has run for longer than it may"
    ACQUIRED = "the task is held under a new fencing token"


# (state, input) -> (next state, name of the method for the transition). Other pairs change nothing.
TASK_TRANSITIONS = {
    (TaskState.NOT_HELD, TaskInput.LEADING): (TaskState.REQUESTED, "_request_grant"),
    (TaskState.REQUESTED, TaskInput.LEADING): (TaskState.REQUESTED, "_repeat_grant_request"),
    (TaskState.REQUESTED, TaskInput.GRANTED): (TaskState.HELD, "_acquire"),
    (TaskState.REQUESTED, TaskInput.LEADERSHIP_LOST): (TaskState.NOT_HELD, "_release"),
    (TaskState.REQUESTED, TaskInput.REMOVED): (TaskState.NOT_HELD, "_give_back"),
    (TaskState.HELD, TaskInput.GRANTED): (TaskState.HELD, "_acquire"),
    (TaskState.HELD, TaskInput.LEADERSHIP_LOST): (TaskState.NOT_HELD, "_release"),
    (TaskState.HELD, TaskInput.REMOVED): (TaskState.NOT_HELD, "_give_back"),
}
COMMAND_TRANSITIONS = {
    (CommandState.WAITING, CommandInput.DUE): (CommandState.RUNNING, "_start_command"),
    (CommandState.RUNNING, CommandInput.ENDED): (CommandState.WAITING, "_schedule_next_run"),
    (CommandState.RUNNING, CommandInput.RELEASED): (CommandState.STOPPING, "_stop_command"),
    (CommandState.RUNNING, CommandInput.OVERDUE): (CommandState.STOPPING, "_stop_command"),
    # It runs under an older fencing token.
    (CommandState.RUNNING, CommandInput.ACQUIRED): (CommandState.STOPPING, "_stop_command"),
    (CommandState.STOPPING, CommandInput.ENDED): (CommandState.WAITING, "_schedule_next_run"),
    (CommandState.DONE, CommandInput.ACQUIRED): (CommandState.WAITING, "_allow_start"),
    (CommandState.DONE, CommandInput.RELEASED): (CommandState.WAITING, "_allow_start"),
}


class CommandOutcome(NamedTuple):
    """How a command ended."""

    exit_code: int | None  # or the negated signal number; None where it did not start or is unknown
    reason: str
    output_tail: str  # the end of its output

    @classmethod
    def without_exit_code(cls, reason: str) -> CommandOutcome:
        """Return the outcome of a command whose exit code is not known."""
        return cls(None, reason, "")


class CommandRun(NamedTuple):
    """The last run of a task's command."""

    outcome: CommandOutcome
    duration: float  # seconds
    fencing_token: int

    def status(self) -> dict[str, object]:
        """Return what `valeturn fleet status` shows; its keys must not change."""
        return {
            "code": self.outcome.exit_code,
            "why": self.outcome.reason,
            "tail": self.outcome.output_tail,
            "took": self.duration,
            "fence": self.fencing_token,
        }

    def log_fields(self, task: str) -> dict[str, object]:
        """Return the fields of a log event about this run."""
        return {
            "task": task,
            "exit_code": self.outcome.exit_code,
            "reason": self.outcome.reason,
            "output_tail": self.outcome.output_tail,
            "duration_s": self.duration,
            "fencing_token": self.fencing_token,
        }


class Propose(NamedTuple):
    """An effect: propose an entry for the replicated log."""

    entry: tuple[object, ...]


class StartCommand(NamedTuple):
    """An effect: start a command under a fencing token."""

    task: str
    command: str
    fencing_token: int
    grace_period: float  # seconds from TERM to KILL


class StopCommand(NamedTuple):
    """An effect: stop the command of a task."""

    task: str


class LogEvent(NamedTuple):
    """An effect: write an event of a task to the log."""

    event: str
    fields: dict[str, object]


Effect = Propose | StartCommand | StopCommand | LogEvent


class SingletonTask:
    """One task. Timestamps are in seconds of the caller's clock."""

    def __init__(self, name: str, options: SingletonTaskOptions, now: float) -> None:
        self.name = name
        self.options = options
        self.state = TaskState.NOT_HELD
        self.state_since = now
        self.command_state = CommandState.WAITING
        self.fencing_token = 0
        self.term: int | None = None  # the leader's term in which the grant was committed
        self.requested_at = NEVER
        self.due_at = now
        self.started_at = now  # valid only after the first run
        self.run_count = 0
        self.command_token = 0  # the fencing token that the command was started under
        self.last_run: CommandRun | None = None
        self.removed = False  # from the operator's file; deleted once its command has ended

    def is_held(self, term: int | None) -> bool:
        """Return whether the task is held in this term."""
        return self.state is TaskState.HELD and self.term == term

    def has_live_command(self) -> bool:
        """Return whether processes of the command may still exist."""
        return self.command_state in (CommandState.RUNNING, CommandState.STOPPING)

    def is_overdue(self, now: float) -> bool:
        """Return whether the command has exceeded its time limit."""
        running = self.command_state is CommandState.RUNNING
        return running and now - self.started_at >= self.options.time_limit

    def is_due(self, now: float, term: int | None) -> bool:
        """Return whether the command is to start."""
        may_run = self.is_held(term) and self.options.kind == RUN
        return may_run and self.command_state is CommandState.WAITING and now >= self.due_at

    def status(self, now: float) -> dict[str, object]:
        """Return what `valeturn fleet status` shows; its keys must not change."""
        return {
            "state": self.state.value,
            "for_s": round(now - self.state_since, 1),
            "does": self.options.kind,
            "fence": self.fencing_token,
            "run": self.command_state.value,
            "runs": self.run_count,
            "last": None if self.last_run is None else self.last_run.status(),
        }


class SingletonTasks:
    """All singleton tasks, on one server. Each input returns the effects to carry out, in order."""

    def __init__(self, server: str, incarnation: int) -> None:
        self.server = server
        self.incarnation = incarnation
        self.tasks: dict[str, SingletonTask] = {}
        self.term: int | None = None  # of this server's own leadership, while it is the leader
        self._effects: list[Effect] = []

    def configure(self, now: float, configured: Mapping[str, SingletonTaskOptions]) -> list[Effect]:
        """Replace the tasks by those of the operator's file.

        Changed options apply from the next start of the command. A task that was removed is stopped and
        released. One that is added again while its command is still being stopped keeps its entry, so that
        the command's end is known before it starts again.
        """
        for name, options in configured.items():
            task = self.tasks.get(name)
            if task is None or (task.removed and not task.has_live_command()):
                self.tasks[name] = SingletonTask(name, options, now)
            else:
                task.options = options
                task.removed = False
        for name, task in list(self.tasks.items()):
            if name not in configured and not task.removed:
                task.removed = True
                self._change_command(now, task, CommandInput.RELEASED)
                self._change_task(now, task, TaskInput.REMOVED)
        return self._take_effects()

    def grant_committed(self, now: float, term: int, name: str, fencing_token: int) -> list[Effect]:
        """Handle a grant to this server that was committed in a term of its leadership."""
        task = self.tasks.get(name)
        if task is not None and term == self.term and not task.removed:
            task.fencing_token = fencing_token
            task.term = term
            self._change_task(now, task, TaskInput.GRANTED)
        return self._take_effects()

    def command_ended(self, now: float, name: str, outcome: CommandOutcome) -> list[Effect]:
        """Handle the outcome of a command: it and all processes that it started have ended."""
        task = self.tasks.get(name)
        if task is not None:
            duration = now - task.started_at if task.run_count else 0.0
            task.last_run = CommandRun(outcome, duration, task.command_token)
            self._change_command(now, task, CommandInput.ENDED)
        return self._take_effects()

    def tick(self, now: float, term: int | None) -> list[Effect]:
        """Do what is due.

        Args:
            now: the current time.
            term: the term of this server's leadership while it may act, else None.
        """
        if term != self.term:
            self.term = term
            for task in self.tasks.values():
                if task.state is not TaskState.NOT_HELD:
                    self._change_task(now, task, TaskInput.LEADERSHIP_LOST)
        for task in list(self.tasks.values()):
            if not task.removed:
                self._tick_task(now, task)
            elif not task.has_live_command():
                del self.tasks[task.name]
        return self._take_effects()

    def status(self, now: float) -> dict[str, dict[str, object]]:
        """Return the status of each task for `valeturn fleet status`, by name."""
        return {name: task.status(now) for name, task in sorted(self.tasks.items())}

    def _tick_task(self, now: float, task: SingletonTask) -> None:
        if self.term is not None:
            self._change_task(now, task, TaskInput.LEADING)
        if task.is_overdue(now):
            self._change_command(now, task, CommandInput.OVERDUE)
        if task.is_due(now, self.term):
            self._change_command(now, task, CommandInput.DUE)

    def _change_task(self, now: float, task: SingletonTask, task_input: TaskInput) -> None:
        transition = TASK_TRANSITIONS.get((task.state, task_input))
        if transition is None:
            return
        next_state, action = transition
        if next_state is not task.state:
            task.state = next_state
            task.state_since = now
        getattr(self, action)(now, task)

    def _change_command(self, now: float, task: SingletonTask, command_input: CommandInput) -> None:
        transition = COMMAND_TRANSITIONS.get((task.command_state, command_input))
        if transition is None:
            return
        task.command_state, action = transition
        getattr(self, action)(now, task)

    def _request_grant(self, now: float, task: SingletonTask) -> None:
        task.requested_at = now
        self._effects.append(Propose(("grant", task.name, self.server, self.incarnation)))

    def _repeat_grant_request(self, now: float, task: SingletonTask) -> None:
        if now - task.requested_at >= GRANT_REQUEST_INTERVAL_S:
            self._request_grant(now, task)

    def _acquire(self, now: float, task: SingletonTask) -> None:
        task.due_at = now
        fields = {"task": task.name, "fencing_token": task.fencing_token, "term": task.term}
        self._effects.append(LogEvent("task_acquired", fields))
        self._change_command(now, task, CommandInput.ACQUIRED)

    def _release(self, now: float, task: SingletonTask) -> None:
        fields: dict[str, object] = {"task": task.name, "fencing_token": task.fencing_token}
        self._effects.append(LogEvent("task_released", fields))
        task.term = None
        self._change_command(now, task, CommandInput.RELEASED)

    def _give_back(self, now: float, task: SingletonTask) -> None:
        self._release(now, task)
        if not task.has_live_command():  # else once it has ended
            self._propose_drop(task)

    def _propose_drop(self, task: SingletonTask) -> None:
        self._effects.append(Propose(("drop", task.name)))

    def _start_command(self, now: float, task: SingletonTask) -> None:
        task.started_at = now
        task.run_count += 1
        task.command_token = task.fencing_token
        options = task.options
        # A task that runs a command has one: see task_options.
        command = options.command or ""
        self._effects.append(StartCommand(task.name, command, task.fencing_token, options.grace_period))

    def _stop_command(self, now: float, task: SingletonTask) -> None:
        self._effects.append(StopCommand(task.name))

    def _schedule_next_run(self, now: float, task: SingletonTask) -> None:
        run = task.last_run
        if run is None:  # an ended command always has one
            return
        interval = task.options.interval
        if interval is None:
            task.due_at = now + RETRY_INTERVAL_S
        else:
            task.due_at = max(now, task.started_at + interval)
        # A command of an earlier token was stopped because of the current one, whatever its exit code.
        succeeded = run.outcome.exit_code == 0 and run.fencing_token == task.fencing_token
        if succeeded and interval is None and task.state is TaskState.HELD and not task.removed:
            task.command_state = CommandState.DONE
        if task.removed and self.term is not None:
            self._propose_drop(task)
        self._effects.append(LogEvent("task_command_ended", run.log_fields(task.name)))

    def _allow_start(self, now: float, task: SingletonTask) -> None:
        task.due_at = now

    def _take_effects(self) -> list[Effect]:
        effects = self._effects
        self._effects = []
        return effects

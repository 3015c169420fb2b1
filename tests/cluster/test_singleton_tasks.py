"""Singleton tasks on one server: when a task is held and when its command may run."""

from valeturn.cluster.singleton_tasks import (
    CommandOutcome,
    Propose,
    SingletonTasks,
    StartCommand,
    StopCommand,
)
from valeturn.cluster.task_options import SingletonTaskOptions
from valeturn.transport.seeded_random import SeededRandom

OPTIONS = SingletonTaskOptions("run", "x", None, 60.0, 0.1, "number", None, 0.5)


def reference_model(script):
    """Return after each step of a script whether a task's command may run, only from the definition."""
    may_run, held, removed = [], False, False
    for step in script:
        if step == "lead":
            held = False  # another term, whose grant has not been committed
        elif step == "grant":
            held = not removed
        elif step == "lose":
            held = False
        elif step == "remove":
            held, removed = False, True
        may_run.append(held)
    return may_run


class Driver:
    """Feeds the steps of a script to the tasks of one server and follows which commands run."""

    def __init__(self):
        self.tasks = SingletonTasks("a", 1)
        self.now = 0.0
        self.term = 0
        self.leading = None
        self.running = set()
        self.tasks.configure(0.0, {"d": OPTIONS})

    def step(self, step):
        effects = []
        if step == "lead":
            self.term += 1
            self.leading = self.term
            effects += self.tasks.tick(self.now, self.leading)
        elif step == "grant":
            effects += self.tasks.grant_committed(self.now, self.leading, "d", self.term)
        elif step == "lose":
            self.leading = None
        else:
            effects += self.tasks.configure(self.now, {})
        effects += self.tasks.tick(self.now, self.leading)
        while effects:  # a command that is stopped ends at once
            effect = effects.pop(0)
            if isinstance(effect, StartCommand):
                assert not self.running
                assert effect.fencing_token == self.term
                self.running.add(effect.fencing_token)
            elif isinstance(effect, StopCommand):
                self.running.clear()
                effects += self.tasks.command_ended(self.now, "d", CommandOutcome(-15, "told", ""))
        effects = self.tasks.tick(self.now + 0.01, self.leading)
        self.now += 6.0  # past the interval for a retry: a command that may run does
        for effect in [*effects, *self.tasks.tick(self.now, self.leading)]:
            if isinstance(effect, StartCommand):
                self.running.add(effect.fencing_token)


def test_command_runs_exactly_while_the_reference_model_allows_it():
    for seed in range(300):
        random_source = SeededRandom(seed * 31 + 7)
        driver = Driver()
        script, seen = [], []
        for _ in range(14):
            driver.now += 0.1
            step = ("lead", "grant", "lose", "remove")[int(3.2 * random_source.random())]
            if step == "grant" and driver.leading is None:
                continue
            script.append(step)
            driver.step(step)
            seen.append(bool(driver.running))
        assert seen == reference_model(script), (seed, script, seen, reference_model(script))


def test_grant_of_earlier_term_does_not_make_task_held():
    tasks = SingletonTasks("a", 1)
    tasks.configure(0.0, {"d": OPTIONS})
    assert tasks.tick(1.0, 3) == [Propose(("grant", "d", "a", 1))]
    assert tasks.grant_committed(1.1, 2, "d", 5) == []
    assert not tasks.tasks["d"].is_held(3)
    tasks.grant_committed(1.2, 3, "d", 6)
    assert tasks.tasks["d"].is_held(3)
    assert not tasks.tasks["d"].is_held(4)


def test_command_under_older_token_is_stopped_when_term_changes():
    tasks = SingletonTasks("a", 1)
    tasks.configure(0.0, {"d": OPTIONS})
    tasks.tick(1.0, 3)
    tasks.grant_committed(1.2, 3, "d", 6)
    starts = [effect for effect in tasks.tick(1.3, 3) if isinstance(effect, StartCommand)]
    assert [effect.fencing_token for effect in starts] == [6]
    assert StopCommand("d") in tasks.tick(1.4, 4)


def test_task_added_again_while_its_command_is_being_stopped_keeps_one_entry():
    """Guards against a second entry that starts a second command beside the first, whose end removes both."""
    tasks = SingletonTasks("a", 1)
    tasks.configure(0.0, {"d": OPTIONS})
    tasks.tick(1.0, 3)
    tasks.grant_committed(1.2, 3, "d", 6)
    tasks.tick(1.3, 3)
    assert StopCommand("d") in tasks.configure(1.4, {})
    tasks.configure(1.5, {"d": OPTIONS})
    tasks.tick(1.6, 3)
    tasks.grant_committed(1.7, 3, "d", 7)
    assert not any(isinstance(effect, StartCommand) for effect in tasks.tick(1.8, 3)), (
        "the first one still runs"
    )
    tasks.command_ended(1.9, "d", CommandOutcome(0, "told to stop", ""))
    later = [effect for now in (2.0, 8.0, 200.0) for effect in tasks.tick(now, 3)]
    starts = [effect for effect in later if isinstance(effect, StartCommand)]
    assert [effect.fencing_token for effect in starts] == [7]


def test_command_that_was_stopped_for_a_newer_token_is_started_again_even_after_success():
    """Guards against a command that exits with 0 on TERM counting as done under the new token."""
    tasks = SingletonTasks("a", 1)
    tasks.configure(0.0, {"d": OPTIONS})
    tasks.tick(1.0, 3)
    tasks.grant_committed(1.2, 3, "d", 6)
    tasks.tick(1.3, 3)
    assert StopCommand("d") in tasks.grant_committed(1.4, 3, "d", 7)
    tasks.command_ended(1.5, "d", CommandOutcome(0, "told to stop", ""))
    assert tasks.tasks["d"].last_run.fencing_token == 6
    starts = [effect for effect in tasks.tick(20.0, 3) if isinstance(effect, StartCommand)]
    assert [effect.fencing_token for effect in starts] == [7]

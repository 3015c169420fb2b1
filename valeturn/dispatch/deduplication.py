"""Deduplication: which submission a new one duplicates, which wait for the same result, and the result store.

In memory, `deduplication_table` knows what this process accepted. With a result store, executions that ended
are handed over to the store and leave the table; the store also knows what came before this process. Nothing
is decided here: the admission controller only receives the number of the original.
"""

from __future__ import annotations

from ..admission import interface
from . import messages
from .deduplication_table import MIN_READ_DELAY_S, DeduplicationTable
from .pending_request import LOGGING_INTENT

# `duplicate_of` of a submission whose original only the store knows; numbers of submissions begin at 1.
IN_STORE = 0


class Deduplication:
    """Recognises duplicates for a dispatcher and answers them from their original; acts in its turns only."""

    def __init__(self, dispatcher, max_bytes, result_store=None):
        """Begin with an empty table.

        Args:
            dispatcher: The dispatcher that this belongs to.
            max_bytes: Memory that the table may take.
            result_store: The store on disk, or None.
        """
        self.dispatcher, self.result_store = dispatcher, result_store
        # A duplicate can be read as late as it is due, and a pending submission is at most a timeout old.
        longest_timeout = max(
            (
                workload.timeout
                for workload in dispatcher.settings.workloads
                if workload.effect is not interface.Effect.UNREPEATABLE
            ),
            default=0.0,
        )
        read_delay_s = max(MIN_READ_DELAY_S, longest_timeout + dispatcher.settings.answer_slack)
        # `turn_keys`: key -> first submission with it in this turn. The controller decides at the end of a
        # turn, so these keys are not in the table yet.
        # `coalesced`: submission -> submissions that wait for its result.
        self.table, self.turn_keys, self.coalesced = DeduplicationTable(max_bytes, read_delay_s), {}, {}

    # ---- new submissions

    def key_of(self, submission, workload, workload_settings):
        """Return what a submission has in common with its duplicates, or None where there are none.

        That is the idempotency key of deduplicated work, and the subject of idempotent work whose results may
        be shared.
        """
        if workload_settings.effect is interface.Effect.DEDUPLICATED:
            return None if submission.idempotency_key is None else (workload, submission.idempotency_key)
        shared = (
            workload_settings.effect is interface.Effect.IDEMPOTENT
            and self.dispatcher.settings.result_lifetime > 0
        )
        return (workload, submission.subject) if shared and submission.subject is not None else None

    def fingerprint(self, pending):
        """Return what duplicates of deduplicated work have in common beside the key; None for other work.

        Idempotent submissions of one subject may differ in their bodies.
        """
        return (
            hash((pending.tenant, pending.body))
            if pending.workload_settings.effect is interface.Effect.DEDUPLICATED
            else None
        )

    def key_reused(self, now, pending, waited):
        """Return whether its idempotency key belongs to a submission with another tenant or body.

        Such a submission is no duplicate, so it must not get the other's result; and nothing may run twice
        under one key.
        """
        if pending.key is None or pending.workload_settings.effect is not interface.Effect.DEDUPLICATED:
            return False
        fingerprint, first = (
            self.fingerprint(pending),
            self.dispatcher.pending.get(self.turn_keys.get(pending.key)),
        )
        return self.table.reused(pending.key, now - waited, fingerprint) or (
            first is not None and self.fingerprint(first) != fingerprint
        )

    def find_original(self, now, pending, waited):
        """Look up the submission that a new one duplicates; if there is none, reserve room in the store.

        Args:
            now: The time of the turn.
            pending: The new submission.
            waited: Seconds since it reached the machine.

        Returns:
            (the number of the original, IN_STORE or None; seconds until duplicates of the new submission
            could be recognised, 0 where they are from now on)
        """
        if pending.key is None:
            return None, 0.0
        original = self.table.original_of(pending.key, now - waited) or self.turn_keys.get(pending.key)
        self.turn_keys.setdefault(pending.key, pending.number)
        if pending.workload_settings.effect is not interface.Effect.DEDUPLICATED:
            return original, 0.0
        if self.result_store is None:
            return original, 0.0 if original is not None else self.table.room_in(now, len(self.turn_keys))
        pending.key_digest = self.result_store.key_digest(pending.workload, pending.key[1])
        if original is not None:
            return original, 0.0
        stored = self.result_store.look_up(pending.key_digest, waited)
        if stored.outcome == "execute":
            ready_in = self.result_store.retry_after()
            if not ready_in:
                self.result_store.reserve(pending.number)
            return None, ready_in
        if stored.outcome == "coalesce" and stored.entry.request_id in self.dispatcher.pending:
            return stored.entry.request_id, 0.0
        self.dispatcher.count("store.repeats")
        pending.stored = stored
        return IN_STORE, 0.0

    # ---- actions of the admission controller

    def apply_store_key(self, now, action):
        """Keep the submission's key, so that its duplicates are recognised."""
        pending = self.dispatcher.pending.get(action.id)
        if pending is None or pending.key is None:
            return
        pending.key_valid_until = now + action.lifetime
        if not self.table.keep(action.id, pending.key, now + action.lifetime, self.fingerprint(pending)):
            self.dispatcher.count("repeats.no_room")

    def apply_forget(self, now, action):
        """Remove a submission's key from the table."""
        self.table.remove(action.id)

    def apply_answer_from_original(self, now, action):
        """Answer a duplicate with its original's result, now or when there is one."""
        pending = self.dispatcher.pending.get(action.id)
        if pending is None:
            return
        if pending.stored is not None:
            self.answer_from_store(pending)
        elif pending.duplicate_of in self.dispatcher.pending:
            self.coalesced.setdefault(pending.duplicate_of, []).append(action.id)
        else:
            entry = self.table.by_number.get(pending.duplicate_of)
            self.answer_duplicate(pending, entry.result if entry is not None else None)

    def answer_from_store(self, pending):
        """Answer a duplicate whose original only the store knows.

        A result that is not in memory is read by the worker thread, and the answer is sent when the store
        reports it. Where there is no result the duplicate fails at once.
        """
        if pending.stored.outcome != "answer":
            self.answer_duplicate(pending, None)
            return
        body = self.result_store.fetch_result(pending.number, pending.stored)
        if body is not None:
            self.dispatcher.count("store.answered")
            self.answer_duplicate(pending, body)

    # ---- ended executions

    def end_coalesced(self, pending, result):
        """Answer all that wait for an original whose execution ended, or that ended without one.

        Args:
            pending: The original.
            result: Its result, or None where there is none.
        """
        self.table.ended(pending.number, result)
        if self.result_store is not None and pending.intent_logged:
            pending.intent_logged = False
            store_input = self.SUCCEEDED if result is not None else self.ENDED_WITHOUT_RESULT
            self.result_store.end_execution(pending.number, pending.key_digest, store_input, result)
            self.table.remove(pending.number)  # from here on the store knows it
        for number in self.coalesced.pop(pending.number, ()):
            self.answer_duplicate(self.dispatcher.pending.get(number), result)

    # Inputs of result_store.entry_states, which is not loaded where there is no store.
    SUCCEEDED, ENDED_WITHOUT_RESULT, NEVER_STARTED = 3, 4, 5

    def answer_duplicate(self, pending, result):
        """Answer a duplicate, if it is not answered yet; the controller gets its end in the next turn."""
        if pending is None or pending.answered:
            return
        if result is None:
            self.dispatcher.answer(pending, "written_off")
        else:
            self.dispatcher.answer(pending, "delivered", result)
        self.dispatcher.remove(pending)
        outcome = interface.Outcome.ERROR if result is None else interface.Outcome.DONE
        self.dispatcher.put_later(messages.DeferredEvent(interface.Ended(pending.number, outcome, 0.0)))

    # ---- the result store

    def log_intent_first(self, pending):
        """Return whether the intent must be durable before the start is sent; if so, begin to write it."""
        if self.result_store is None or pending.key_digest is None or pending.intent_logged:
            return False
        lifetime = max(0.0, pending.key_valid_until - self.dispatcher.scheduler.clock())
        self.result_store.log_intent(
            pending.number, pending.key_digest, lifetime, bytes.fromhex(pending.call_id), pending.workload
        )
        return True

    def never_started(self, pending):
        """Note that it is proved that the start of an execution was never received.

        While the submission is pending it may be started again, so its key stays in the table and duplicates
        wait for it; `release` removes the key. An execution that has begun before, and was to be resumed by
        this start, stays recorded in the store.
        """
        if self.result_store is None or pending.key_digest is None or pending.has_begun:
            return
        pending.intent_logged = False
        self.result_store.end_execution(pending.number, pending.key_digest, self.NEVER_STARTED)

    def release(self, pending):
        """Release what the store holds for a submission that is no longer pending.

        Without an intent on the disk it never ran, so that its key is free for the next try.
        """
        if self.result_store is None or pending.key_digest is None:
            return
        self.result_store.release(pending.number)
        if pending.state == LOGGING_INTENT:
            self.never_started(pending)
        if pending.intent_logged:
            pending.intent_logged = False
            self.result_store.end_execution(pending.number, pending.key_digest, self.ENDED_WITHOUT_RESULT)
        else:
            self.table.remove(pending.number)

    def on_store_progressed(self, now, message):
        """Take up what the store's worker thread has finished."""
        for kind, number, body in self.result_store.collect():
            if kind == "intent_durable":
                self.dispatcher.executions.on_intent_durable(number)
            elif kind == "intent_lost":
                self.dispatcher.count("store.not_noted")
                self.dispatcher.executions.on_intent_lost(number)
            else:
                pending = self.dispatcher.pending.get(number)
                self.dispatcher.count("store.answered" if body is not None else "store.no_answer")
                self.answer_duplicate(pending, body)

    def end_unfinished(self, call_id, outcome, result):
        """Store how an execution from before a restart ended, as the executor reports.

        Returns:
            False where the store knows of no such execution.
        """
        if self.result_store is None:
            return False
        store_input = {
            interface.Outcome.DONE: self.SUCCEEDED,
            interface.Outcome.MOOT: self.NEVER_STARTED,
        }.get(outcome, self.ENDED_WITHOUT_RESULT)
        execution_id = self.execution_id(call_id)
        return execution_id is not None and self.result_store.end_unfinished(
            execution_id, store_input, result
        )

    def unfinished_workload(self, call_id):
        """Return the name of the workload of an unfinished execution from before a restart, or None."""
        execution_id = self.execution_id(call_id)
        return None if execution_id is None else self.result_store.unfinished_workload(execution_id)

    @staticmethod
    def execution_id(call_id):
        """Return the store's id of an execution, or None where the executor sent something else."""
        try:
            return bytes.fromhex(call_id)
        except (TypeError, ValueError):
            return None

    # ---- the dispatcher's turns

    def expire(self, now):
        """Remove expired entries and let the store do its regular work."""
        self.table.expire(now)
        if self.result_store is not None:
            self.result_store.maintain()

    def end_turn(self):
        """End a turn: all its intents go to the disk in one write."""
        self.turn_keys = {}
        if self.result_store is not None:
            self.result_store.flush()

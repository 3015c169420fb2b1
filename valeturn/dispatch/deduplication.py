"""Repeats: which submission a newcomer repeats, who waits for whose end, and what the store is told.

In memory, the table of `repeats` knows what this process let in. With a store, what ended is handed over to
it and leaves the table; it also knows what came before the process. Decides nothing: the module is told what
is so.
"""

from __future__ import annotations

from ..admission import interface
from . import messages
from .deduplication_table import UNREAD, Repeats
from .pending_request import NOTED

IN_STORE = 0  # what the module is told that a newcomer repeats, where only the store knows it; ids begin at 1


class Deduplication:
    def __init__(self, dispatcher, most, kept=None):
        self.dispatcher, self.kept = dispatcher, kept
        # A repeat can be read as late as it is due, and what is due is at most a cut-off old.
        longest = max(
            (
                w.timeout
                for w in dispatcher.settings.workloads
                if w.effect is not interface.Effect.UNREPEATABLE
            ),
            default=0.0,
        )
        unread = max(UNREAD, longest + dispatcher.settings.answer_slack)
        self.table, self.batch, self.joiners = Repeats(most, unread), {}, {}

    # ---- newcomers

    def key_of(self, s, workload, w):
        """What a repeat shares with the one it repeats: the mark of a deduplicated one, else what is read."""
        if w.effect is interface.Effect.DEDUPLICATED:
            return None if s.idempotency_key is None else (workload, s.idempotency_key)
        reads = w.effect is interface.Effect.IDEMPOTENT and self.dispatcher.settings.result_lifetime > 0
        return (workload, s.subject) if reads and s.subject is not None else None

    def fingerprint(self, sub):
        """What repeats of a deduplicated submission have in common with it beside the mark. Reads differ."""
        return hash((sub.tenant, sub.body)) if sub.w.effect is interface.Effect.DEDUPLICATED else None

    def mark_reused(self, now, sub, waited):
        """True where its mark is that of another submission: not a repeat, so that it must not be given the
        other's result; and nothing may run twice under one mark."""
        if sub.key is None or sub.w.effect is not interface.Effect.DEDUPLICATED:
            return False
        fingerprint, first = self.fingerprint(sub), self.dispatcher.open.get(self.batch.get(sub.key))
        return self.table.reused(sub.key, now - waited, fingerprint) or (
            first is not None and self.fingerprint(first) != fingerprint
        )

    def newcomer(self, now, sub, waited):
        """(the id that it repeats, or None; seconds until a repeat of it could be told apart, 0 where now)"""
        if sub.key is None:
            return None, 0.0
        repeats = self.table.repeated(sub.key, now - waited) or self.batch.get(sub.key)
        self.batch.setdefault(sub.key, sub.number)
        if sub.w.effect is not interface.Effect.DEDUPLICATED:
            return repeats, 0.0
        if self.kept is None:
            return repeats, 0.0 if repeats is not None else self.table.room_in(now, len(self.batch))
        sub.digest = self.kept.key_digest(sub.workload, sub.key[1])
        if repeats is not None:
            return repeats, 0.0
        meets = self.kept.look_up(sub.digest, waited)
        if meets.outcome == "execute":
            room_in = self.kept.retry_after()
            if not room_in:
                self.kept.reserve(sub.number)
            return None, room_in
        if meets.outcome == "coalesce" and meets.entry.request_id in self.dispatcher.open:
            return meets.entry.request_id, 0.0
        self.dispatcher.count("store.repeats")
        sub.meets = meets
        return IN_STORE, 0.0

    def do_remember(self, now, a):
        sub = self.dispatcher.open.get(a.id)
        if sub is None or sub.key is None:
            return
        sub.lasting_to = now + a.lifetime
        if not self.table.keep(a.id, sub.key, now + a.lifetime, self.fingerprint(sub)):
            self.dispatcher.count("repeats.no_room")

    def do_forget(self, now, a):
        self.table.remove(a.id)

    def do_answer_from(self, now, a):
        sub = self.dispatcher.open.get(a.id)
        if sub is None:
            return
        if sub.meets is not None:
            self.answer_from_store(sub)
        elif sub.repeats in self.dispatcher.open:
            self.joiners.setdefault(sub.repeats, []).append(a.id)
        else:
            entry = self.table.by_number.get(sub.repeats)
            self.end_joined(sub, entry.result if entry is not None else None)

    def answer_from_store(self, sub):
        """A result that is not at hand is read beside the loop and comes as news; no result is told at
        once."""
        if sub.meets.outcome != "answer":
            self.end_joined(sub, None)
            return
        body = self.kept.fetch_result(sub.number, sub.meets)
        if body is not None:
            self.dispatcher.count("store.answered")
            self.end_joined(sub, body)

    # ---- ends

    def end_joiners(self, sub, result):
        """Its run is over, or it is over without one; result is None where there is none."""
        self.table.ended(sub.number, result)
        if self.kept is not None and sub.noted:
            sub.noted = False
            given = self.DONE if result is not None else self.ENDED
            self.kept.end_execution(sub.number, sub.digest, given, result)
            self.table.remove(sub.number)  # the store knows it from here on
        for number in self.joiners.pop(sub.number, ()):
            self.end_joined(self.dispatcher.open.get(number), result)

    DONE, ENDED, UNBEGUN = 3, 4, 5  # inputs of store.entry, which is not loaded where there is no store

    def end_joined(self, sub, result):
        if sub is None or sub.answered:
            return
        if result is None:
            self.dispatcher.answer(sub, "written_off")
        else:
            self.dispatcher.answer(sub, "delivered", result)
        self.dispatcher.drop(sub)
        outcome = interface.Outcome.ERROR if result is None else interface.Outcome.DONE
        self.dispatcher.put_later(messages.DeferredEvent(interface.Ended(sub.number, outcome, 0.0)))

    # ---- the store

    def note_first(self, sub):
        """True where its intent must be durable before it is sent, and is on its way now."""
        if self.kept is None or sub.digest is None or sub.noted:
            return False
        lasting = max(0.0, sub.lasting_to - self.dispatcher.scheduler.clock())
        self.kept.log_intent(sub.number, sub.digest, lasting, bytes.fromhex(sub.call), sub.workload)
        return True

    def never_began(self, sub):
        """Proved: a repeat of it may run."""
        if self.kept is not None and sub.digest is not None:
            sub.noted = False
            self.kept.end_execution(sub.number, sub.digest, self.UNBEGUN)
            self.table.remove(sub.number)

    def dropped(self, sub):
        """Nothing is kept of it here any more."""
        if self.kept is not None and sub.digest is not None:
            self.kept.release(sub.number)
            if sub.run == NOTED:
                self.never_began(sub)
            if sub.noted:
                sub.noted = False
                self.kept.end_execution(sub.number, sub.digest, self.ENDED)

    def on_disk_news(self, now, m):
        for kind, number, body in self.kept.collect():
            if kind == "intent_durable":
                self.dispatcher.runs.on_noted(number)
            elif kind == "intent_lost":
                self.dispatcher.count("store.not_noted")
                self.dispatcher.runs.not_noted(number)
            else:
                sub = self.dispatcher.open.get(number)
                self.dispatcher.count("store.answered" if body is not None else "store.no_answer")
                self.end_joined(sub, body)

    def told(self, call, outcome, result):
        """The executor tells how a run from before a restart ended. False where nothing is known of it."""
        if self.kept is None:
            return False
        given = {interface.Outcome.DONE: self.DONE, interface.Outcome.MOOT: self.UNBEGUN}.get(
            outcome, self.ENDED
        )
        number = self.number_of(call)
        return number is not None and self.kept.end_unfinished(number, given, result)

    def unsettled(self, call):
        number = self.number_of(call)
        return None if number is None else self.kept.unfinished_workload(number)

    @staticmethod
    def number_of(call):
        try:
            return bytes.fromhex(call)
        except (TypeError, ValueError):
            return None

    # ---- the owner's turns

    def expire(self, now):
        self.table.expire(now)
        if self.kept is not None:
            self.kept.maintain()

    def turn_ends(self):
        """All intents of a turn go to the disk in one write."""
        self.batch = {}
        if self.kept is not None:
            self.kept.flush()

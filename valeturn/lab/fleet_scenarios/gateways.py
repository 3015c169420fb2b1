"""Gateways: each knows of a server what its list, its own tries and the answers told it, and nothing else."""

from __future__ import annotations

from . import history_checker as seen
from .days import NEVER, zone_of

TRY_SHARE = 0.6  # of the cut-off, after which a try is given up: the platform has 0.34 to 1
SILENCE = 0.25  # s after which a connection that nobody answers has failed
TOLD = 0.05  # s until a server hears that a try was given up
LEVEL_LASTS = 1.0  # s that a free value is kept in mind
IDLE = 15.0  # s after which an unused connection is closed
BARRED = 2.0  # s for which a server that could not be reached is passed over


class Asked:
    """What a client wants, through any number of tries."""

    __slots__ = (
        "begun",
        "born",
        "due",
        "earned",
        "hint",
        "once",
        "rank",
        "subject",
        "tenant",
        "tried",
        "work",
        "workload",
    )

    def __init__(self, born, workload, work, hint, rank, tenant, subject, due, once):
        self.born, self.workload, self.work, self.hint = born, workload, work, hint
        self.rank, self.tenant, self.subject, self.due, self.once = rank, tenant, subject, due, once
        self.begun, self.earned, self.tried = 0, None, []


class Try:
    """One of them at one server. What an emulated server asks of a submission is here too."""

    __slots__ = (
        "answers",
        "asked",
        "born",
        "due",
        "gateway",
        "life",
        "over",
        "reached_at",
        "read_at",
        "server",
        "slim",
        "started",
        "taken_back",
        "tenant",
        "tries",
        "work",
        "workload",
    )

    def __init__(self, asked, gateway, server, now, until):
        self.asked, self.gateway, self.server, self.born, self.due = asked, gateway, server, now, until
        self.work, self.workload, self.tenant = asked.work, asked.workload, asked.tenant
        self.answers, self.over, self.taken_back, self.started, self.slim = 0, False, False, False, False
        self.reached_at, self.read_at, self.life, self.tries = None, None, None, 1


class Gateway:
    def __init__(self, world, number, heeds, hashes):
        self.world, self.number, self.heeds, self.hashes = world, number, heeds, hashes
        self.zone = zone_of(number, world.day.zones)
        self.listed = dict.fromkeys(range(len(world.servers)), True)  # as far as it heard
        self.forget()

    def forget(self):
        """As after a start."""
        self.names = [n for n, there in self.listed.items() if there]
        self.turn = int(self.world.random_source.random() * max(1, len(self.names)))
        self.away, self.levels, self.barred = {}, {}, {}  # server -> until when; (value, until); until
        self.connected = {}  # server -> (life, last used)

    def hear(self, server, there):
        """A change of the list has come through."""
        if self.listed.get(server) != there:
            self.listed[server] = there
            self.names = [n for n, there in self.listed.items() if there]

    # ---- choosing

    def choose(self, asked):
        """The next one by its habit that nothing speaks against, or None."""
        names, now = self.names, self.world.now
        if not names:
            return None
        if self.hashes:
            first = asked.subject * 2654435761 % len(names)
        else:
            self.turn = first = (self.turn + 1) % len(names)
        for step in range(len(names)):
            name = names[(first + step) % len(names)]
            if name in asked.tried or self.barred.get(name, 0.0) > now:
                continue
            if self.heeds:
                if self.away.get(name, 0.0) > now:
                    continue
                value, until = self.levels.get(name, (0.0, 0.0))
                if until > now and asked.rank < value:
                    continue
            return self.world.servers[name]
        return None

    def send(self, asked):
        world, now = self.world, self.world.now
        server = self.choose(asked) if now < asked.due else None
        if server is None:
            world.unserved(asked, "nowhere" if now < asked.due else "no time")
            return
        asked.tried.append(server.name)
        w = world.scene.settings.workloads[asked.workload]
        attempt = Try(asked, self, server, now, min(asked.due, now + TRY_SHARE * w.timeout))
        life, used = self.connected.get(server.name, (None, -NEVER))
        fresh = life != server.life or now - used > IDLE
        if world.cut(self, server):
            world.at(now + SILENCE if fresh else attempt.due, self.unreached, attempt)
        else:
            self.connected[server.name] = server.life, now
            world.at(now + world.NET, server.offered, attempt, fresh)

    # ---- what comes back

    def unreached(self, attempt):
        """No connection, or silence: nothing was read there."""
        if not attempt.over:
            attempt.over = True
            self.barred[attempt.server.name] = self.world.now + BARRED
            self.send(attempt.asked)

    def told(self, attempt, how, action=None):
        """An answer; it is lost with the way where the two are cut apart."""
        world, server, now = self.world, attempt.server, self.world.now
        if attempt.over or world.cut(self, server):
            return
        attempt.over = True
        if server.level is not None:
            self.levels[server.name] = (server.level, now + LEVEL_LASTS)
        if how == seen.DELIVERED:
            world.earned(attempt)
        elif how == seen.WRITTEN_OFF:
            world.unserved(attempt.asked, "written off")
        else:
            if self.heeds and action is not None:
                self.away[server.name] = now + action.retry_after
                if action.final:
                    world.unserved(attempt.asked, "turned back")
                    return
            self.send(attempt.asked)

    def broken(self, attempt):
        """Its server ended with it open: what must not run twice is not asked for again."""
        if not attempt.over:
            attempt.over = True
            self.again(attempt, "broken")

    def timed_out(self, attempt):
        if attempt.over:
            return
        attempt.over = True
        server = attempt.server
        if attempt.read_at is not None and attempt.life == server.life and not self.world.cut(self, server):
            self.world.at(self.world.now + TOLD, server.taken_back, attempt)
        self.again(attempt, "timed out")

    def again(self, attempt, why):
        if attempt.asked.once and attempt.read_at is not None:
            self.world.unserved(attempt.asked, why)
        else:
            self.send(attempt.asked)

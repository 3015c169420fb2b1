"""Simulated gateways: each knows a server only by its list, its own attempts and the answers to them."""

from __future__ import annotations

from . import history_checker
from .days import NEVER, zone_of

ATTEMPT_TIMEOUT_SHARE = 0.6  # of the workload's timeout, given to one attempt; the platform has 0.34 to 1
CONNECT_TIMEOUT_S = 0.25  # seconds after which an unanswered connection attempt fails
WITHDRAWAL_DELAY_S = 0.05  # seconds until a server learns that an attempt was given up
LEVEL_LIFETIME_S = 1.0  # seconds for which an advertised level is remembered
IDLE_TIMEOUT_S = 15.0  # seconds after which an unused connection is closed
UNREACHABLE_PENALTY_S = 2.0  # seconds for which an unreachable server is skipped


class ClientRequest:
    """A request of a client, over any number of attempts. Times are in seconds of virtual time."""

    __slots__ = (
        "runs_started",
        "created_at",
        "deadline",
        "value_earned",
        "hint",
        "unrepeatable",
        "rank",
        "subject",
        "tenant",
        "tried_servers",
        "work",
        "workload",
    )

    def __init__(self, created_at, workload, work, hint, rank, tenant, subject, deadline, unrepeatable):
        self.created_at, self.workload, self.work, self.hint = created_at, workload, work, hint
        self.rank, self.tenant, self.subject, self.deadline, self.unrepeatable = (
            rank,
            tenant,
            subject,
            deadline,
            unrepeatable,
        )
        self.runs_started, self.value_earned, self.tried_servers = 0, None, []


class Attempt:
    """One attempt of a request at one server, with the fields that a Server reads of a Submission."""

    __slots__ = (
        "answers",
        "request",
        "created_at",
        "deadline",
        "gateway",
        "incarnation",
        "closed",
        "reached_at",
        "read_at",
        "server",
        "degraded",
        "started",
        "withdrawn",
        "tenant",
        "attempts",
        "work",
        "workload",
    )

    def __init__(self, request, gateway, server, now, until):
        self.request, self.gateway, self.server, self.created_at, self.deadline = (
            request,
            gateway,
            server,
            now,
            until,
        )
        self.work, self.workload, self.tenant = request.work, request.workload, request.tenant
        self.answers, self.closed, self.withdrawn, self.started, self.degraded = 0, False, False, False, False
        self.reached_at, self.read_at, self.incarnation, self.attempts = None, None, None, 1


class Gateway:
    """Routes client requests to servers and retries them elsewhere."""

    def __init__(self, simulation, number, follows_advice, hashes_subject):
        self.simulation, self.number, self.follows_advice, self.hashes_subject = (
            simulation,
            number,
            follows_advice,
            hashes_subject,
        )
        self.zone = zone_of(number, simulation.day.zones)
        self.listed = dict.fromkeys(range(len(simulation.servers)), True)  # as far as it has learned
        self.forget()

    def forget(self):
        """Drop all knowledge of servers and all connections, as at a restart."""
        self.names = [name for name, present in self.listed.items() if present]
        self.next_index = int(self.simulation.random_source.random() * max(1, len(self.names)))
        # By server: time; (level, time until which it holds); time.
        self.rejected_until, self.levels, self.unreachable_until = {}, {}, {}
        self.connected = {}  # by server: (incarnation, last used)

    def on_list_change(self, server, present):
        """Process a change of the server list."""
        if self.listed.get(server) != present:
            self.listed[server] = present
            self.names = [name for name, present in self.listed.items() if present]

    # ---- choosing

    def choose(self, request):
        """Return the next usable server in this gateway's order, or None."""
        names, now = self.names, self.simulation.now
        if not names:
            return None
        if self.hashes_subject:
            first = request.subject * 2654435761 % len(names)
        else:
            self.next_index = first = (self.next_index + 1) % len(names)
        for step in range(len(names)):
            name = names[(first + step) % len(names)]
            if name in request.tried_servers or self.unreachable_until.get(name, 0.0) > now:
                continue
            if self.follows_advice:
                if self.rejected_until.get(name, 0.0) > now:
                    continue
                value, until = self.levels.get(name, (0.0, 0.0))
                if until > now and request.rank < value:
                    continue
            return self.simulation.servers[name]
        return None

    def send(self, request):
        """Send a request to a server that it has not tried, or give it up."""
        simulation, now = self.simulation, self.simulation.now
        server = self.choose(request) if now < request.deadline else None
        if server is None:
            simulation.record_unserved(request, "nowhere" if now < request.deadline else "no time")
            return
        request.tried_servers.append(server.name)
        workload_settings = simulation.scenario.settings.workloads[request.workload]
        attempt = Attempt(
            request,
            self,
            server,
            now,
            min(request.deadline, now + ATTEMPT_TIMEOUT_SHARE * workload_settings.timeout),
        )
        incarnation, last_used = self.connected.get(server.name, (None, -NEVER))
        new_connection = incarnation != server.incarnation or now - last_used > IDLE_TIMEOUT_S
        if simulation.is_cut_off(self, server):
            simulation.at(
                now + CONNECT_TIMEOUT_S if new_connection else attempt.deadline, self.unreached, attempt
            )
        else:
            self.connected[server.name] = server.incarnation, now
            simulation.at(now + simulation.NETWORK_DELAY_S, server.receive, attempt, new_connection)

    # ---- answers and failures

    def unreached(self, attempt):
        """No connection or no reply: the server has read nothing, so try another one."""
        if not attempt.closed:
            attempt.closed = True
            self.unreachable_until[attempt.server.name] = self.simulation.now + UNREACHABLE_PENALTY_S
            self.send(attempt.request)

    def on_answer(self, attempt, answer, action=None):
        """Process an answer; it is lost if the gateway and the server are partitioned."""
        simulation, server, now = self.simulation, attempt.server, self.simulation.now
        if attempt.closed or simulation.is_cut_off(self, server):
            return
        attempt.closed = True
        if server.level is not None:
            self.levels[server.name] = (server.level, now + LEVEL_LIFETIME_S)
        if answer == history_checker.DELIVERED:
            simulation.record_delivery(attempt)
        elif answer == history_checker.FAILED:
            simulation.record_unserved(attempt.request, "written off")
        else:
            if self.follows_advice and action is not None:
                self.rejected_until[server.name] = now + action.retry_after
                if action.final:
                    simulation.record_unserved(attempt.request, "turned back")
                    return
            self.send(attempt.request)

    def on_connection_broken(self, attempt):
        """The server ended with the attempt open; an unrepeatable request that was read is not retried."""
        if not attempt.closed:
            attempt.closed = True
            self.retry_if_safe(attempt, "broken")

    def timed_out(self, attempt):
        """Give up an attempt at its deadline, withdraw it at the server, and retry."""
        if attempt.closed:
            return
        attempt.closed = True
        server = attempt.server
        if (
            attempt.read_at is not None
            and attempt.incarnation == server.incarnation
            and not self.simulation.is_cut_off(self, server)
        ):
            self.simulation.at(self.simulation.now + WITHDRAWAL_DELAY_S, server.withdraw, attempt)
        self.retry_if_safe(attempt, "timed out")

    def retry_if_safe(self, attempt, reason):
        """Retry, unless the request is unrepeatable and may have run."""
        if attempt.request.unrepeatable and attempt.read_at is not None:
            self.simulation.record_unserved(attempt.request, reason)
        else:
            self.send(attempt.request)

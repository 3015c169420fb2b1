"""Arbitrary settings and arbitrary bytes from peers.

Settings that the specification allows start and decide; all others are rejected in one line that names the
key. Bytes that cannot be decoded end in a value, never in an exception.
"""

import copy
import json
import math
import resource
import subprocess
import sys

import pytest
from helpers import Model, frame, settings
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from program_support import CONFIG, ROOT, changed

from valeturn.admission import interface
from valeturn.admission.controller import AdmissionController
from valeturn.admission.settings import DecodedSettings
from valeturn.protocol import executor as executor_protocol
from valeturn.protocol import frames, http
from valeturn.server import configuration
from valeturn.server.server import Server

HYPOTHESIS_SETTINGS = hypothesis_settings(derandomize=True, max_examples=250, deadline=None, database=None)

# ---- settings


def decide_and_drain(decoded):
    """Pass a few submissions and a drain through a controller with these settings.

    Returns (type, id) of each action; the id is None where the action has none.
    """
    deployment = decoded.settings
    controller, now, actions_seen = AdmissionController(deployment, 1, 0.0), 0.0, []

    def batch(*events):
        nonlocal now
        now += 0.05
        actions = controller.decide(now, list(events))
        for action in actions:
            durations = [
                value
                for field, value in zip(action._fields, action)
                if field in ("idle_time", "delay", "timeout", "retry_after")
            ]
            assert all(math.isfinite(value) and value >= 0 for value in durations), action
        actions_seen.extend((type(action), getattr(action, "id", None)) for action in actions)
        return actions

    for number in range(3 * len(deployment.workloads)):
        index = number % len(deployment.workloads)
        batch(
            interface.Arrived(
                number,
                index,
                tenant=0 if deployment.tenants else None,
                memory=8.0,
                time_left=5.0,
                cost_hint=0.1,
                subject=None if number % 2 else "k",
            )
        )
        if (interface.Start, number) in actions_seen:
            batch(interface.CallRequested(number))
            if (interface.Call, number) in actions_seen:
                batch(interface.CallEnded(number, interface.Outcome.DONE, 0.02))
            batch(interface.Ended(number, interface.Outcome.DONE, 0.1))
        batch(interface.TimerFired(0, interface.Gauges(0.5, 1, 0.1, 3)))
    batch(interface.DrainStarted(1.0))
    for _ in range(20):
        batch(interface.TimerFired(0, interface.Gauges()))
    unanswered = [request for request in controller.submissions.values() if request.awaits_answer]
    assert not unanswered, "unanswered at the stop"
    return actions_seen


MINIMAL_SETTINGS = {"request_classes": [{"name": "x"}]}


@pytest.mark.parametrize(
    "path, value",
    [
        ("domain", ...),
        ("rules", ...),
        ("allowed", ...),
        ("tenants", ...),
        ("tenants", []),
        ("servers", 0),
        ("domain.calls_out", 0),
        ("domain.calls_out", ...),
        ("domain.calls_over_ms", ...),
        ("domain.calls_over_ms", 0),
        ("domain.key_kb", 0),
        ("domain.run_mem_factor", 0.5),
        ("domain.heap_kb", 0.5),
        ("rules.cold_ms", 0),
        ("rules.start_capacity", 0),
        ("rules.overload_factor", 1),
        ("tick_ms", 0),
        ("rules.drain_grace_ms", 0),
        ("rules.grace_to_answer_ms", 0),
        ("domain.linger_ms", 0),
        ("domain.cpus", 1),
        ("domain.gauges", []),
        ("domain.gauges", ["odd", "odd"]),
        ("domain.halt", "odd"),
        ("domain.say", "credit"),
        ("request_classes.1.goal_time_ms", 9000),
        ("request_classes.0.semantics", "keyed"),
        ("request_classes.0.worth", 0),
        ("request_classes.0.window_ms", 0),
        ("tenants.0.allowance_per_s", 0),
        ("over_share_worth", 0),
        ("domain.degraded_worth", [None]),
        ("domain.calls_by_class", []),
    ],
)
def test_settings_that_the_specification_allows_start_and_decide(path, value):
    decoded = configuration.decode(changed("settings." + path, value))
    assert decoded.names.settings.workloads and decide_and_drain(decoded.names)
    assert configuration.decode({**CONFIG, "settings": MINIMAL_SETTINGS}).names.settings.cores == 1


def test_a_latency_objective_after_the_timeout_is_the_timeout():
    decoded = configuration.decode(changed("settings.request_classes.1.goal_time_ms", 9000))
    assert decoded.names.settings.workloads[1].latency_objective == 1.5


@pytest.mark.parametrize(
    "path, value, field",
    [
        ("settings.servers", "many", "servers"),
        ("settings.request_classes.0.worth", "1", "worth"),
        ("settings.request_classes.0.give_up_ms", True, "give_up_ms"),
        ("settings.request_classes.2.window_ms", 10**400, "window_ms"),
        ("settings.domain.calls_out", float("nan"), "calls_out"),
        ("settings.domain.gauges", "busy", "gauges"),
        ("settings.domain.degraded_worth", ["much"], "degraded_worth"),
        ("settings.domain", [], "domain"),
        ("settings.tenants", {"a": 1}, "tenants"),
        ("settings.tenants.0.name", 7, "tenants[0].name"),
        ("settings.rules.overload_factor", float("inf"), "overload_factor"),
        ("name", "名", "name"),
        ("listen", "h:" + "9" * 5000, "listen"),
        ("stop_ms", 10**400, "stop_ms"),
        ("limits.cores", float("nan"), "limits.cores"),
    ],
)
def test_invalid_settings_are_rejected_in_one_line_that_names_the_key(path, value, field):
    with pytest.raises(configuration.ConfigurationError) as error:
        configuration.decode(changed(path, value))
    assert field in str(error.value) and "\n" not in str(error.value)


def test_an_invalid_file_ends_a_start_with_status_2_and_one_line(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(changed("settings.domain.cpus", "six")))
    done = subprocess.run(
        [sys.executable, "-m", "valeturn", "serve", "--config", str(path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert (done.returncode, done.stderr.count("\n")) == (2, 1) and "settings.domain.cpus" in done.stderr


PATHS = [
    "servers",
    "tick_ms",
    "counted_by",
    "request_classes",
    "request_classes.0",
    "request_classes.0.name",
    "request_classes.0.semantics",
    "request_classes.1.goal_time_ms",
    "request_classes.1.give_up_ms",
    "request_classes.2.worth",
    "request_classes.2.window_ms",
    "request_classes.0.aim_stretch",
    "tenants",
    "tenants.0",
    "tenants.0.name",
    "tenants.0.allowance_per_s",
    "rules",
    "rules.cold_ms",
    "domain",
    "rules.overload_factor",
    "rules.drain_grace_ms",
    "allowed",
    "allowed.max_retry_after_ms",
    "domain.cpus",
    "domain.heap_kb",
    "domain.halt",
    "domain.say",
    "domain.gauges",
    "domain.calls_out",
    "domain.linger_ms",
    "domain.calls_over_ms",
    "domain.calls_by_class",
    "domain.degraded_worth",
    "domain.fresh_ms",
]
VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-2, 10**20),
    st.floats(),
    st.sampled_from(
        [0, 1, 1e-9, 0.3, 8, 1500, 1e14, "keyed", "safe", "unsafe", "drop", "pause", "credit", "", "x"]
    ),
    st.lists(st.one_of(st.integers(-1, 3), st.sampled_from(["cpu_busy", None, 0.5])), max_size=3),
    st.dictionaries(st.sampled_from(["name", "worth"]), st.integers(0, 3), max_size=2),
)


@HYPOTHESIS_SETTINGS
@given(st.lists(st.tuples(st.sampled_from(PATHS), VALUES), min_size=1, max_size=3))
def test_arbitrary_settings_are_rejected_in_one_line_or_decide(changes):
    raw = copy.deepcopy(CONFIG)
    for path, value in changes:
        *parents, key = path.split(".")
        container = raw["settings"]
        for step in parents:
            container = (
                container[int(step)]
                if isinstance(container, list) and step.isdigit() and int(step) < len(container)
                else (container.get(step) if isinstance(container, dict) else None)
            )
            if not isinstance(container, (dict, list)):
                break
        if isinstance(container, dict):
            container[key] = value
        elif isinstance(container, list) and key.isdigit() and int(key) < len(container):
            container[int(key)] = value
    try:
        decoded = configuration.decode(raw)
    except configuration.ConfigurationError as error:
        assert "\n" not in str(error)
        return
    decide_and_drain(decoded.names)


def test_without_a_descriptor_limit_the_configured_one_applies(monkeypatch):
    monkeypatch.setattr(resource, "getrlimit", lambda _: (resource.RLIM_INFINITY,) * 2)
    assert Server(configuration.decode(CONFIG), lambda *_, **__: None).limits.connections > 700


def test_a_cold_server_with_one_core_still_runs_one_at_a_time():
    """Guards against a concurrency limit below 1, with which nothing ever starts: six tenths of the runs that
    this server survives while cold are less than one run."""
    cold_settings = settings(cores=1, max_concurrency_per_core=1.5, starts_cold=True, cold_start_speed=0.2)
    model = Model(AdmissionController(cold_settings, 1, 0.0), cold_settings)
    model.batch(0.0)
    actions = model.batch(
        0.1,
        interface.Arrived(1, 0, memory=8.0, cost_hint=0.1, time_left=2.9),
        interface.Arrived(2, 0, memory=8.0, cost_hint=0.1, time_left=2.9),
    )
    assert len([action for action in actions if isinstance(action, interface.Start)]) == 1


def test_minimal_settings_have_no_tenants_and_the_default_timeout(tmp_path):
    assert (
        DecodedSettings(MINIMAL_SETTINGS).tenants == {}
        and DecodedSettings(MINIMAL_SETTINGS).settings.workloads[0].timeout == 60.0
    )


# ---- bytes

JSON = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(-3, 10**30),
        st.floats(),
        st.text(max_size=5),
        st.sampled_from(["success", "booting", "a", "joined", "aGk=", "%%"]),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=5,
)
NOTICE = st.fixed_dictionaries(
    {"t": st.sampled_from(["WELCOME", "EXIT", "CALLOUT", "METERS", "DIAGNOSED", "BAD", "LOG", "odd"])},
    optional={name: JSON for name in ("no", "rid", "status", "time_ms", "b64", "mark", "v")},
)


@HYPOTHESIS_SETTINGS
@given(st.lists(st.one_of(NOTICE, JSON), max_size=4), st.integers(1, 40))
def test_any_line_of_the_executor_is_a_value_within_bounds(messages, step):
    data = b"".join(json.dumps(message).encode() + b"\n" for message in messages)
    decoder, notices = executor_protocol.LineDecoder(), []
    for start in range(0, len(data), step):
        notices += decoder.feed(data[start : start + step])
        while notices and isinstance(notices[-1], executor_protocol.Malformed) and decoder.pass_over():
            more = decoder.feed(b"")
            if not more:
                break
            notices += more
    assert len(notices) == len(messages) and len(decoder.buffer) <= executor_protocol.MAX_LINE_BYTES
    for notice in notices:
        for name, value in notice._asdict().items():
            if name in ("duration", "age"):
                assert 0 <= value < 1e11
            elif name == "number":
                assert value is None or 0 < value <= 2**53
            elif name in ("call", "token"):
                assert value is None or isinstance(value, str)
            elif name == "values":
                assert all(number is None or abs(number) < float("inf") for number in value)


@HYPOTHESIS_SETTINGS
@given(st.binary(max_size=400), st.integers(1, 60))
def test_any_bytes_from_a_gateway_are_values_and_buffered_within_bounds(data, step):
    decoder = frames.FrameDecoder()
    prefix = frame(7, 1, b"\x01\x02op\x03\x00abc")
    for start in range(0, len(prefix + data), step):
        for message in decoder.feed((prefix + data)[start : start + step]):
            assert isinstance(message, tuple)
        assert len(decoder.buffer) <= frames.MAX_BUFFERED_BYTES + 60


STATUS_LINES = [b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 204 No\r\n", b"HTTP/1.0 503\r\n"]
HEADERS = [
    b"Content-Length: 3\r\n",
    b"content-length: +3\r\n",
    b"Content-Length: 9999999\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b": x\r\n",
    b"X-Untouched: 1\r\n",
]
BODIES = [b"\r\nabc", b"\r\n3\r\nabc\r\n0\r\n\r\n", b"\r\nfffffffff\r\n", b"\r\n-1\r\n", b"abc"]
RESPONSE = st.tuples(
    st.sampled_from(STATUS_LINES),
    st.lists(st.sampled_from(HEADERS), max_size=3).map(b"".join),
    st.sampled_from(BODIES),
).map(b"".join)


@HYPOTHESIS_SETTINGS
@given(st.one_of(st.binary(max_size=200), RESPONSE), st.integers(1, 60))
def test_any_http_response_is_a_value(data, step):
    decoder = http.ResponseDecoder()
    for start in range(0, len(data), step):
        result = decoder.feed(data[start : start + step])
        if result is not None:
            assert isinstance(result, (http.Response, http.Malformed))
            return
    assert isinstance(decoder.end(), (http.Response, http.Malformed))

"""The metrics of a status in Prometheus's text exposition format."""

import os
import pathlib
from typing import Any

import pytest

from valeturn.metrics.exposition import MetricsExporter

EVENTS = """\
# HELP valeturn_events_total Counted events by group and name
# TYPE valeturn_events_total counter
valeturn_events_total{group="leaving",name="leaving"} 1.0
valeturn_events_total{group="out",name="delivered"} 3.0
valeturn_events_total{group="out",name="turned_back"} 1.0
"""
GAUGES = """\
# HELP valeturn_link_up As the server holds it to be
# TYPE valeturn_link_up gauge
valeturn_link_up 1.0
# HELP valeturn_open As the server holds it to be
# TYPE valeturn_open gauge
valeturn_open 2.0
# HELP valeturn_share_of_cpu As the server holds it to be
# TYPE valeturn_share_of_cpu gauge
valeturn_share_of_cpu 0.5
"""
TIMINGS_AND_UPTIME = """\
# HELP valeturn_time_milliseconds Mean and most of what is timed
# TYPE valeturn_time_milliseconds gauge
valeturn_time_milliseconds{name="decide"} 0.25
valeturn_time_milliseconds{name="decide_most"} 4.0
# HELP valeturn_up_seconds Since the start
# TYPE valeturn_up_seconds gauge
valeturn_up_seconds 12.5
"""
LEVEL = """\
# HELP valeturn_level 1 for the level that holds
# TYPE valeturn_level gauge
valeturn_level{level="slim"} 1.0
# HELP valeturn_level_seconds_total Seconds in each level
# TYPE valeturn_level_seconds_total counter
valeturn_level_seconds_total{level="none"} 8.5
valeturn_level_seconds_total{level="slim"} 4.0
"""


def test_status_is_rendered_in_text_exposition_format(status: dict[str, Any]) -> None:
    rendered = MetricsExporter(lambda: status).render().decode()
    assert rendered == EVENTS + GAUGES + TIMINGS_AND_UPTIME + LEVEL


def test_server_without_levels_has_no_level_metrics(status: dict[str, Any]) -> None:
    rendered = MetricsExporter(lambda: {**status, "level": None}).render().decode()
    assert rendered == EVENTS + GAUGES + TIMINGS_AND_UPTIME


def test_each_rendering_reads_the_current_status(status: dict[str, Any]) -> None:
    exporter = MetricsExporter(lambda: status)
    exporter.render()
    status["up_s"] = 99.0
    assert b"valeturn_up_seconds 99.0\n" in exporter.render()


def test_file_is_replaced_without_leaving_a_temporary_file(
    status: dict[str, Any], tmp_path: pathlib.Path
) -> None:
    file = tmp_path / "metrics.prom"
    file.write_text("old")
    reader = file.open(encoding="utf-8")
    exporter = MetricsExporter(lambda: status)
    exporter.write_file(str(file))
    with reader:
        assert reader.read() == "old", "a reader that has the old file open still reads all of it"
    assert file.read_bytes() == exporter.render()
    assert os.listdir(tmp_path) == ["metrics.prom"]


def test_file_that_cannot_be_written_is_an_error(status: dict[str, Any], tmp_path: pathlib.Path) -> None:
    with pytest.raises(FileNotFoundError):
        MetricsExporter(lambda: status).write_file(str(tmp_path / "none" / "metrics.prom"))

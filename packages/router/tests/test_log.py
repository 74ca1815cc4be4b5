import json
import os
import re
import subprocess
import sys

import loguru
import pytest

from nutmegpost_core import events
from nutmegpost_router import log

_EVENT = events.Event(401, "INFO", "refused, {code}: {reason}")


@pytest.fixture
def clock(monkeypatch):
    now = [1000.0]
    monkeypatch.setattr(log, "_throttles", {})
    monkeypatch.setattr(log.time, "monotonic", lambda: now[0])
    yield now
    loguru.logger.remove()


def _lines(capsys):
    return capsys.readouterr().err.splitlines()


def test_line_has_time_level_process_and_number(clock, capsys):
    log.set_up("router-1")
    log.emit(_EVENT, code="overloaded", reason="queue")
    (line,) = _lines(capsys)
    assert re.fullmatch(
        r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3} INFO    router-1 401 "
        r"refused, overloaded: queue",
        line,
    )


def test_events_below_the_level_are_not_written(clock, capsys):
    log.set_up("router-1", "WARNING")
    log.emit(_EVENT, code="overloaded", reason="queue")
    assert _lines(capsys) == []


def test_field_values_are_escaped_and_not_formatted(clock, capsys):
    log.set_up("router-1")
    log.emit(_EVENT, code="a\nINFO forged", reason="{x} <red>\x1b[2J\u2028")
    (line,) = _lines(capsys)
    assert line.endswith(r"refused, a\nINFO forged: {x} <red>\x1b[2J\u2028")


def test_mismatched_fields_are_written_without_error(clock, capsys):
    log.set_up("router-1")
    log.emit(_EVENT, code="overloaded")
    log.emit(events.CLOCK_GAP, seconds="long")
    first, second = _lines(capsys)
    assert "refused" in first and "overloaded" in first
    assert "paused" in second and "long" in second


def test_rate_limit_reports_suppressed_lines(clock, capsys):
    log.set_up("router-1")
    for _ in range(log.LINES_PER_SECOND + 7):
        log.emit(_EVENT, code="overloaded", reason="queue")
    log.emit(events.CLOCK_GAP, seconds=1.0)
    lines = _lines(capsys)
    assert len(lines) == log.LINES_PER_SECOND + 1
    assert "106" not in lines[-1] and "105" in lines[-1]
    clock[0] += 1
    log.emit(_EVENT, code="overloaded", reason="queue")
    log.emit(_EVENT, code="overloaded", reason="queue")
    first, second = _lines(capsys)
    assert first.endswith("queue (and 7 more of 401 not written)")
    assert second.endswith("queue")


def test_traceback_shows_no_values(clock, capsys):
    log.set_up("router-1")
    secret = "key-0123456789"
    try:
        raise ValueError(len(secret))
    except ValueError:
        loguru.logger.exception("failed")
    text = capsys.readouterr().err
    assert "ValueError" in text
    assert secret not in text


def _read_structured_lines(count, read_slowly=False):
    """Logs records to a pipe and returns the lines read from it."""
    reader, writer = os.pipe()
    sink = log._NonBlockingSink(writer)
    loguru.logger.remove()
    loguru.logger.configure(extra={"process": "p", "number": 0})
    loguru.logger.add(sink.write, level="INFO")
    for number in range(count):
        loguru.logger.bind(number=101, event="E", fields={"n": number}).info(
            "x" * (2_000 if read_slowly else 1)
        )
    sink.flush()
    loguru.logger.remove()
    os.close(writer)
    with os.fdopen(reader, "rb") as pipe:
        return [json.loads(line) for line in pipe.read().splitlines()]


def test_structured_lines_have_the_fields_of_the_event():
    lines = _read_structured_lines(2)
    assert [line["n"] for line in lines] == [0, 1]
    assert lines[0]["process"] == "p"
    assert lines[0]["event"] == "E"
    assert lines[0]["number"] == 101


def test_lines_are_written_together_but_a_warning_at_once(monkeypatch):
    writes = []
    monkeypatch.setattr(os, "set_blocking", lambda *_: None)
    monkeypatch.setattr(
        os, "write", lambda _, data: writes.append(bytes(data)) or len(data)
    )
    sink = log._NonBlockingSink(1)
    loguru.logger.remove()
    loguru.logger.configure(extra={"process": "p", "number": 0})
    loguru.logger.add(sink.write, level="INFO")
    logger = loguru.logger.bind(event="E", fields={})
    logger.info("first")
    logger.info("second")
    assert writes == []
    logger.warning("third")
    assert len(writes) == 1
    assert writes[0].count(b"\n") == 3
    for _ in range(log.BATCH_BYTES // 50):
        logger.info("x")
    assert len(writes) >= 2
    loguru.logger.remove()


def test_unread_output_does_not_block_the_process():
    reader, writer = os.pipe()
    sink = log._NonBlockingSink(writer)
    loguru.logger.remove()
    loguru.logger.configure(extra={"process": "p", "number": 0})
    loguru.logger.add(sink.write, level="INFO")
    for number in range(20_000):
        fields = {"n": number, "text": "y" * 100}
        loguru.logger.bind(number=1, event="E", fields=fields).info("x")
    assert len(sink._buffer) <= log.OUTPUT_BYTES_MAX
    assert sink._dropped > 0
    loguru.logger.remove()
    os.close(writer)
    os.close(reader)


def test_lines_without_loguru_are_those_of_loguru(monkeypatch):
    """Guards against lines that depend on which of the two writes them."""
    monkeypatch.setitem(log._process, "name", "p")
    reader, writer = os.pipe()
    sink = log._NonBlockingSink(writer, "INFO")
    sink.write_event(events.Event(7, "DEBUG", "x"), {"n": 1})
    sink.write_event(_EVENT, {"code": "c", "reason": "r"})
    loguru.logger.remove()
    loguru.logger.configure(extra={"process": "p", "number": 0})
    loguru.logger.add(sink.write, level="INFO")
    fields = {"code": "c", "reason": "r"}
    loguru.logger.bind(number=401, event="", fields=fields).info("x")
    loguru.logger.remove()
    sink.flush()
    os.close(writer)
    with os.fdopen(reader, "rb") as pipe:
        own, logurus = (json.loads(line) for line in pipe.read().splitlines())
    pattern = r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}[+-]\d\d:\d\d"
    assert re.fullmatch(pattern, own.pop("time"))
    assert re.fullmatch(pattern, logurus.pop("time"))
    own.pop("event"), logurus.pop("event")
    assert list(own.items()) == list(logurus.items())


def test_the_gateway_program_loads_no_library_that_it_does_not_need():
    """Guards against an import that costs every gateway its memory."""
    program = (
        "import sys, nutmegpost_platform.main; "
        "print({'loguru', 'prometheus_client', 'http.server', "
        "'multiprocessing', 'email', 'websockets'} & sys.modules.keys())"
    )
    shown = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, check=True
    )
    assert shown.stdout.strip() == b"set()"

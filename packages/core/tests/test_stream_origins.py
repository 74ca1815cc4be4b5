from nutmegpost_core import stream_origins

ORIGIN = stream_origins.Origin("engines", "v1")


def _entry(attempt, expires=100.0, origin=ORIGIN):
    digest = stream_origins.attempt_digest(attempt)
    return stream_origins.OriginEntry(digest, origin, expires)


def _find(origins, attempt):
    return origins.find(stream_origins.attempt_digest(attempt))


def test_origin_is_found_by_the_attempt_that_began_the_stream():
    origins = stream_origins.StreamOrigins()
    origins.record(_entry("begun"))
    assert _find(origins, "begun").origin == ORIGIN
    assert _find(origins, "other") is None


def test_stream_keeps_the_origin_that_was_recorded_first():
    origins = stream_origins.StreamOrigins()
    origins.record(_entry("begun"))
    other = stream_origins.Origin("engines", "v2")
    origins.record(_entry("begun", 200.0, other))
    assert _find(origins, "begun") == _entry("begun", 200.0)
    origins.record(_entry("begun", 50.0))
    assert _find(origins, "begun").expires == 200.0


def test_origins_expire():
    origins = stream_origins.StreamOrigins()
    origins.record(_entry("early", 10.0))
    origins.record(_entry("late", 20.0))
    origins.expire(10.0)
    assert _find(origins, "early") is None
    assert _find(origins, "late") is not None


def test_oldest_origins_are_discarded_when_there_are_too_many(monkeypatch):
    monkeypatch.setattr(stream_origins, "ORIGINS_MAX", 3)
    origins = stream_origins.StreamOrigins()
    for number in range(5):
        origins.record(_entry(f"id-{number}"))
    assert len(origins) == 3
    assert _find(origins, "id-1") is None
    assert _find(origins, "id-2") is not None


def test_origins_of_one_service_are_listed():
    origins = stream_origins.StreamOrigins()
    other = stream_origins.Origin("drafts", "v1")
    origins.record(_entry("a"))
    origins.record(_entry("b", origin=other))
    assert origins.of_service("drafts") == [_entry("b", origin=other)]

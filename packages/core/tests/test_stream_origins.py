from nutmegpost_core import stream_origins

ORIGIN = stream_origins.Origin("engines", "v1")


def _entry(attempt, expires=100.0, origin=ORIGIN):
    digest = stream_origins.attempt_digest(attempt)
    return stream_origins.OriginEntry(digest, origin, expires)


def _find(origins, attempt):
    return origins.find(stream_origins.attempt_digest(attempt))


def _choose(attempt, versions, *software):
    origins = [stream_origins.Origin("engines", name) for name in software]
    digest = stream_origins.attempt_digest(attempt)
    return stream_origins.version_after_move(digest, origins, versions)


def test_origin_is_found_by_the_attempt_that_began_the_stream():
    origins = stream_origins.StreamOrigins()
    origins.record(_entry("begun"))
    assert _find(origins, "begun") == (_entry("begun"),)
    assert not _find(origins, "other")


def test_stream_keeps_the_origin_that_was_recorded_first():
    origins = stream_origins.StreamOrigins()
    origins.record(_entry("begun"))
    other = stream_origins.Origin("engines", "v2")
    origins.record(_entry("begun", 200.0, other))
    assert _find(origins, "begun") == (_entry("begun", 200.0),)
    origins.record(_entry("begun", 50.0))
    assert _find(origins, "begun") == (_entry("begun", 200.0),)


# Guards against a stream that goes on anywhere once its route has moved.
def test_stream_has_an_origin_at_each_service():
    origins = stream_origins.StreamOrigins()
    other = stream_origins.Origin("others", "v2")
    origins.record(_entry("begun"))
    origins.record(_entry("begun", 20.0, other))
    assert _find(origins, "begun") == (
        _entry("begun", 20.0, other),
        _entry("begun"),
    )
    third = stream_origins.Origin("others", "v3")
    origins.record(_entry("begun", 30.0, third))
    assert _find(origins, "begun")[0] == _entry("begun", 30.0, other)
    assert len(origins) == 1
    origins.expire(30.0)
    assert _find(origins, "begun") == (_entry("begun"),)


def test_version_that_began_a_stream_is_chosen_after_a_move():
    versions = {"e1": "v1", "e2": "v2", "e3": "v2"}
    for number in range(20):
        assert _choose(f"id-{number}", versions, "v1") == "v1"
        assert _choose(f"id-{number}", versions, "v0", "v2") == "v2"


def test_routers_choose_the_same_version_after_a_move():
    versions = {"e1": "v1", "e2": "v2", "e3": "v2"}
    turned = dict(reversed(versions.items()))
    chosen = [_choose(f"id-{number}", versions, "v0") for number in range(60)]
    assert chosen == [
        _choose(f"id-{number}", turned, "v0") for number in range(60)
    ]
    # As many streams as each version has endpoints, roughly.
    assert 10 <= chosen.count("v1") <= 30


def test_origins_expire():
    origins = stream_origins.StreamOrigins()
    origins.record(_entry("early", 10.0))
    origins.record(_entry("late", 20.0))
    origins.expire(10.0)
    assert not _find(origins, "early")
    assert _find(origins, "late")


def test_oldest_origins_are_discarded_when_there_are_too_many(monkeypatch):
    monkeypatch.setattr(stream_origins, "ORIGINS_MAX", 3)
    origins = stream_origins.StreamOrigins()
    for number in range(5):
        origins.record(_entry(f"id-{number}"))
    assert len(origins) == 3
    assert not _find(origins, "id-1")
    assert _find(origins, "id-2")


def test_attempts_are_listed_once_for_all_their_origins():
    origins = stream_origins.StreamOrigins()
    other = stream_origins.Origin("drafts", "v1")
    origins.record(_entry("a"))
    origins.record(_entry("b"))
    origins.record(_entry("b", origin=other))
    assert origins.attempts() == [
        stream_origins.attempt_digest(attempt) for attempt in ("a", "b")
    ]

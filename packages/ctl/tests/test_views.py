from nutmegpost_ctl import views


def _status(name, version=3, digest="d" * 64, **counts):
    return {
        "name": name,
        "zone": "a",
        "incarnation": 1,
        "state": "serving",
        "uptime_s": 90.0,
        "configuration_version": version,
        "configuration_digest": digest,
        "vm_list_version": 2,
        "counts": counts,
    }


def _endpoint(name, owner, load):
    return {
        "name": name,
        "pool": "panel",
        "owner": owner,
        "state": "ready",
        "load": load,
        "bound": 4,
        "waiting": 0,
        "version": "",
    }


def test_status_has_a_column_for_each_count_of_any_router():
    text = views.status_text(
        [_status("router-1", in_flight=3), _status("router-2", members=4)]
    )
    header, first, second = text.splitlines()
    assert header.split()[-3:] == ["in", "flight", "members"]
    assert first.split()[-2:] == ["3", "-"]
    assert second.split()[-2:] == ["-", "4"]


def test_disagreements_name_versions_and_contents():
    assert views.disagreements([_status("a"), _status("b")]) == []
    differences = views.disagreements(
        [_status("a"), _status("b", digest="e" * 64), _status("c", 4)]
    )
    assert differences == [
        "configuration versions differ: 3, 4",
        "version 3 has 2 contents",
    ]


def test_endpoints_are_shown_as_their_owner_sees_them():
    text = views.endpoints_text(
        [
            {
                "name": "router-1",
                "endpoints": [
                    _endpoint("engine-1", "router-2", 9),
                    _endpoint("engine-2", "router-1", 1),
                    _endpoint("engine-3", "router-9", 7),
                ],
            },
            {
                "name": "router-2",
                "endpoints": [
                    _endpoint("engine-1", "router-2", 2),
                    _endpoint("engine-2", "router-1", 8),
                ],
            },
        ]
    )
    loads = [line.split()[4] for line in text.splitlines()[1:]]
    assert loads == ["2", "1", "7"]


def test_members_and_configurations_name_the_reporting_router():
    member = {
        "name": "router-2",
        "address": "127.0.1.2:8080",
        "zone": "b",
        "state": "alive",
        "incarnation": 1,
        "configuration_version": 3,
    }
    text = views.members_text([{"name": "router-1", "members": [member]}])
    assert text.splitlines()[1].split() == [
        "router-1",
        "router-2",
        "127.0.1.2:8080",
        "b",
        "alive",
        "3",
    ]
    text = views.configuration_text(
        [{"name": "r", "version": 3, "digest": "d" * 64, "document": None}]
    )
    assert text.splitlines()[1].split() == ["r", "3", "d" * 12]


def test_an_explanation_numbers_its_steps():
    view = {
        "name": "router-1",
        "model": "panel",
        "account": "desk",
        "chat": "c1",
        "engine": "",
        "owner": "",
        "steps": ["hash", "bound"],
    }
    text = views.explanation_text(view)
    assert "chat c1" in text and "  2. bound" in text
    assert text.endswith("result: no engine")
    view = {**view, "engine": "engine-1", "owner": "router-2", "chat": ""}
    text = views.explanation_text(view)
    assert "chat" not in text
    assert text.endswith("result: engine-1, owned by router-2")

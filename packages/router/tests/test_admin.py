import asyncio
import json

import hypothesis
from hypothesis import strategies
import pytest

from nutmegpost_core import burn
from nutmegpost_core import errors
from nutmegpost_router import admin
from nutmegpost_router import http_server
from nutmegpost_router import metrics

_KEY = "admin-key-0123456789"
_AUTHORIZED = {"authorization": f"Bearer {_KEY}"}
_ROW = burn.BurnRow("press", 60.0, 2, 1, 1, 1, 0, 0, 0, 0, 0.95, 10.0)


def _explain(model, account, chat):
    if model != "panel":
        raise errors.UnknownNameError("no such model")
    return {
        "name": "router-1",
        "model": model,
        "account": account,
        "chat": chat,
        "engine": "engine-1",
        "owner": "router-1",
        "steps": ["one"],
    }


def _raise_fault():
    raise RuntimeError("a fault of the view")


_SOURCE = admin.AdminSource(
    status=lambda: {
        "name": "router-1",
        "zone": "a",
        "incarnation": 5,
        "state": "serving",
        "uptime_s": 1.5,
        "configuration_version": 3,
        "configuration_digest": "d",
        "vm_list_version": 2,
        "counts": {"members": 4},
    },
    members=lambda: {"name": "router-1", "members": []},
    endpoints=lambda: {"name": "router-1", "endpoints": []},
    configuration=lambda: {
        "name": "router-1",
        "version": 0,
        "digest": "",
        "document": None,
    },
    explain=_explain,
    burn=lambda: [_ROW],
    metrics=lambda: b"# metrics\n",
)


def _request(target, headers=_AUTHORIZED, method="GET", source=_SOURCE):
    handle = admin.make_handler(source, _KEY)
    request = http_server.Request(method, target, headers, b"")
    return asyncio.run(handle(request))


def _error_code(response):
    return json.loads(response.body)["error"]["code"]


@pytest.mark.parametrize(
    "view", ["status", "members", "endpoints", "configuration", "burn"]
)
def test_a_view_is_json_and_names_its_router(view):
    response = _request(f"/admin/{view}")
    assert response.status == 200
    assert ("Content-Type", "application/json") in response.headers
    assert json.loads(response.body)["name"] == "router-1"


def test_burn_rows_are_objects():
    body = json.loads(_request("/admin/burn").body)
    assert body["windows"] == [_ROW._asdict()]


def test_explain_passes_on_its_query():
    body = json.loads(
        _request("/admin/explain?model=panel&account=desk&chat=C%2D1").body
    )
    assert (body["model"], body["account"], body["chat"]) == (
        "panel",
        "desk",
        "C-1",
    )


@pytest.mark.parametrize(
    ("target", "status", "code"),
    [
        ("/admin/explain", 400, "invalid-request"),
        ("/admin/explain?model=panel", 400, "invalid-request"),
        ("/admin/explain?model=PANEL&account=a", 400, "invalid-request"),
        (
            "/admin/explain?model=panel&account=a&chat=%0a",
            400,
            "invalid-request",
        ),
        ("/admin/explain?model=none&account=a", 404, "unknown-name"),
        ("/admin/status?" + "a=1&" * 9, 400, "invalid-request"),
        ("/admin/none", 404, "unknown-name"),
        ("//[", 404, "unknown-name"),
        ("", 404, "unknown-name"),
    ],
)
def test_an_invalid_request_is_refused(target, status, code):
    response = _request(target)
    assert (response.status, _error_code(response)) == (status, code)
    assert ("X-Outcome", "not-run") in response.headers


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE", "HEAD"])
def test_methods_other_than_get_are_refused(method):
    assert _request("/admin/status", method=method).status == 405


@pytest.mark.parametrize(
    "value",
    [
        None,
        "",
        _KEY,
        "Bearer",
        "Bearer ",
        "Bearer x",
        f"Bearer {_KEY}x",
        f"Bearer {_KEY[:-1]}",
        f"Basic {_KEY}",
        "Bearer \xff\xfe",
    ],
)
def test_a_wrong_key_gives_the_same_refusal_for_every_path(value):
    headers = {} if value is None else {"authorization": value}
    for target in ("/admin/status", "/admin/explain", "/admin/none"):
        response = _request(target, headers)
        assert (response.status, _error_code(response)) == (
            401,
            "unknown-account",
        )
        assert _KEY.encode() not in response.body


def test_the_authorization_scheme_ignores_case():
    assert (
        _request("/admin/status", {"authorization": f"bearer {_KEY}"}).status
        == 200
    )


def test_metrics_need_no_key():
    response = _request("/metrics", {})
    assert (response.status, response.body) == (200, b"# metrics\n")
    assert ("Content-Type", metrics.CONTENT_TYPE) in response.headers


def test_an_exception_of_a_view_propagates_to_the_server():
    source = _SOURCE._replace(members=_raise_fault)
    with pytest.raises(RuntimeError):
        _request("/admin/members", source=source)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    path=strategies.sampled_from(
        ["/admin/explain", "/admin/status", "/metrics", "/", ""]
    )
    | strategies.text(),
    query=strategies.text()
    | strategies.text(alphabet="model=&acounth%+0aF;[]"),
    value=strategies.text()
    | strategies.just(f"Bearer {_KEY}")
    | strategies.binary().map(lambda data: data.decode("latin-1")),
)
def test_any_request_gives_a_documented_status(path, query, value):
    response = _request(f"{path}?{query}", {"authorization": value})
    assert response.status in (200, 400, 401, 404)
    if response.status != 200:
        error = json.loads(response.body)["error"]
        assert error["code"] and error["outcome"] == "not-run"

import asyncio
import io
import json
import threading

import hypothesis
from hypothesis import strategies
import pytest

from nutmegpost_core import burn
from nutmegpost_core import configuration
from nutmegpost_core import errors
from nutmegpost_core import vms
from nutmegpost_ctl import exits
from nutmegpost_ctl import main
from nutmegpost_router import admin
from nutmegpost_router import http_server

_KEY = "admin-key-0123456789"
_CONFIGURATION = {
    "version": 7,
    "load_bound": 1.5,
    "classes": [
        {"name": "press", "rank": 1, "first_token_ms": 490, "worth": 100}
    ],
    "accounts": [
        {
            "name": "desk",
            "key_digests": [configuration.key_digest("key")],
            "classes": ["press"],
        }
    ],
    "models": [
        {
            "name": "panel",
            "version": "v1",
            "slots": 8,
            "rollout": {"max_unavailable": 1},
        }
    ],
    "services": [],
}
_SETTINGS = {
    "name": "router-1",
    "zone": "a",
    "public_address": "127.0.1.1:8080",
    "peer_address": "127.0.1.1:8081",
    "admin_address": "127.0.1.1:8082",
    "platform_address": "127.0.0.2:8000",
    "peer_key": "peer-key-0123456789",
    "admin_key": _KEY,
}


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
        "steps": ["the hash of the chat names engine-1"],
    }


_SOURCE = admin.AdminSource(
    status=lambda: {
        "name": "router-1",
        "zone": "a",
        "incarnation": 5,
        "state": "serving",
        "uptime_s": 1.5,
        "configuration_version": 7,
        "configuration_digest": "d" * 64,
        "vm_list_version": 2,
        "counts": {"members": 4},
    },
    members=lambda: {"name": "router-1", "members": []},
    endpoints=lambda: {"name": "router-1", "endpoints": []},
    configuration=lambda: {
        "name": "router-1",
        "version": 7,
        "digest": "d" * 64,
        "document": _CONFIGURATION,
    },
    explain=_explain,
    burn=lambda: [
        burn.BurnRow("press", 60.0, 2, 1, 1, 1, 0, 0, 0, 0, 0.95, 10.0)
    ],
    metrics=lambda: b"",
)


class _Router:
    """An administration API served by a thread."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()
        self._ready.wait()

    def _run(self):
        self._loop.run_until_complete(self._serve())
        self._loop.close()

    async def _serve(self):
        self._stop = asyncio.Event()
        handle = admin.make_handler(_SOURCE, _KEY)
        server = await http_server.serve(
            vms.Address("127.0.0.1", 0), http_server.responder(handle)
        )
        port = server._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self._ready.set()
        await self._stop.wait()
        await server.close()

    def close(self):
        self._loop.call_soon_threadsafe(self._stop.set)
        self._thread.join()


@pytest.fixture(scope="module")
def router():
    server = _Router()
    yield server
    server.close()


@pytest.fixture(autouse=True)
def _environment(monkeypatch):
    monkeypatch.setenv(main.KEY_VARIABLE, _KEY)


def _run(*arguments):
    return main.main(["nutmegpostctl", *arguments])


def _run_with_router(router, *arguments):
    return _run(*arguments, f"--routers={router.address}")


@pytest.mark.parametrize(
    ("arguments", "text"),
    [
        (["status"], "serving"),
        (["members"], "seen by"),
        (["endpoints"], "endpoint"),
        (["config"], "dddddddddddd"),
        (["config", "--document"], '"load_bound": 1.5'),
        (
            ["explain", "--model=panel", "--account=desk", "--chat=C.1"],
            "result: engine-1, owned by router-1",
        ),
        (["burn"], "10.00  fast"),
    ],
)
def test_a_command_prints_its_view(router, capsys, arguments, text):
    assert _run_with_router(router, *arguments) == exits.Exit.OK
    captured = capsys.readouterr()
    assert text in captured.out
    assert captured.err == ""


def test_flags_are_accepted_before_the_command(router):
    assert _run(f"--routers={router.address}", "status") == exits.Exit.OK


def test_a_router_that_is_down_makes_the_output_partial(router, capsys):
    routers = f"--routers=127.0.0.1:1,{router.address}"
    assert _run("status", routers) == exits.Exit.PARTIAL
    captured = capsys.readouterr()
    assert "router-1" in captured.out
    assert "127.0.0.1:1: cannot connect" in captured.err


def test_unreachable_routers_have_their_own_exit_code(capsys):
    assert _run("status", "--routers=127.0.0.1:1") == exits.Exit.UNREACHABLE
    assert capsys.readouterr().out == ""


def test_a_refused_request_differs_from_an_unreachable_router(router, capsys):
    code = _run_with_router(router, "explain", "--model=none", "--account=desk")
    assert code == exits.Exit.REFUSED
    assert "unknown-name: no such model" in capsys.readouterr().err


def test_the_key_file_precedes_the_environment(router, tmp_path, monkeypatch):
    monkeypatch.setenv(main.KEY_VARIABLE, "another-key-0123456789")
    path = tmp_path / "key"
    path.write_text(_KEY + "\n")
    assert _run_with_router(router, "status") == exits.Exit.REFUSED
    assert (
        _run_with_router(router, "status", f"--key_file={path}")
        == exits.Exit.OK
    )


@pytest.mark.parametrize("key", ["", " \n", "clé-0123456789", "a\nb"])
def test_a_key_that_cannot_be_sent_is_refused_before_the_call(
    router, monkeypatch, capsys, key
):
    monkeypatch.setenv(main.KEY_VARIABLE, key)
    assert _run_with_router(router, "status") == exits.Exit.USAGE
    assert "administration key" in capsys.readouterr().err


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["none"],
        ["status"],
        ["status", "--routers=here"],
        ["status", "--routers=127.0.0.1:99999"],
        ["status", "extra", "--routers=127.0.0.1:1"],
        ["status", "--unknown=1"],
        ["status", "--timeout_s=0", "--routers=127.0.0.1:1"],
        ["explain", "--routers=127.0.0.1:1", "--model=panel"],
        ["check"],
        ["check", "none.json"],
        ["check", "nul\0.json"],
        ["status", "--key_file=none", "--routers=127.0.0.1:1"],
        ["digest", "key"],
    ],
)
def test_a_wrong_command_line_has_its_own_exit_code(capsys, arguments):
    assert _run(*arguments) == exits.Exit.USAGE
    captured = capsys.readouterr()
    assert captured.err or not arguments


def test_help_lists_every_command(capsys):
    assert _run("--help") == exits.Exit.OK
    text = capsys.readouterr().out
    assert all(f"  {name} " in text for name in main._COMMANDS)


def _write(tmp_path, value):
    path = tmp_path / "file.json"
    path.write_text(json.dumps(value))
    return str(path)


def test_check_prints_the_result_and_advice(tmp_path, capsys):
    path = _write(tmp_path, {**_CONFIGURATION, "x": 1})
    assert _run("check", path) == exits.Exit.OK
    out = capsys.readouterr().out
    assert f"{path}: ok, version 7, " in out
    assert "odd: $.x is not known and is ignored" in out


def test_check_reports_an_invalid_file_and_continues(tmp_path, capsys):
    bad = _write(tmp_path, {**_CONFIGURATION, "load_bound": 0})
    good = tmp_path / "good.json"
    good.write_text(json.dumps(_CONFIGURATION))
    assert _run("check", bad, str(good)) == exits.Exit.REFUSED
    refused, ok = capsys.readouterr().out.splitlines()
    assert refused.startswith(f"refused: {bad}: $.load_bound: ")
    assert ok.startswith(f"{good}: ok")


@pytest.mark.parametrize(
    ("changed", "code", "text"),
    [
        (
            {"version": 8, "load_bound": 2},
            exits.Exit.OK,
            "change: load_bound: 1.5 -> 2",
        ),
        ({"version": 6}, exits.Exit.REFUSED, "6 is below 7"),
        ({"version": 7}, exits.Exit.REFUSED, "7 is in force with another"),
    ],
)
def test_check_with_routers_prints_changes_or_the_refusal(
    router, tmp_path, capsys, changed, code, text
):
    path = _write(tmp_path, {**_CONFIGURATION, **changed})
    assert _run_with_router(router, "check", path) == code
    assert text in capsys.readouterr().out


def test_check_reads_settings(tmp_path, capsys):
    path = _write(tmp_path, _SETTINGS)
    assert _run("check", "--settings", path) == exits.Exit.OK
    assert capsys.readouterr().out == f"{path}: ok, router router-1 in a\n"
    assert _run("check", path) == exits.Exit.REFUSED


def test_digest_reads_the_key_from_standard_input(monkeypatch, capsys):
    monkeypatch.setattr("sys.stdin", io.StringIO("key\n"))
    assert _run("digest") == exits.Exit.OK
    assert capsys.readouterr().out.strip() == configuration.key_digest("key")
    monkeypatch.setattr("sys.stdin", io.StringIO("\n"))
    assert _run("digest") == exits.Exit.USAGE


def test_burn_writes_its_picture_and_its_page(router, tmp_path):
    png = tmp_path / "burn.png"
    page = tmp_path / "burn.html"
    code = _run_with_router(router, "burn", f"--png={png}", f"--html={page}")
    assert code == exits.Exit.OK
    assert png.read_bytes().startswith(b"\x89PNG")
    assert "Service-level burn of router-1" in page.read_text()
    code = _run_with_router(router, "burn", f"--png={tmp_path}/none/burn.png")
    assert code == exits.Exit.USAGE


def test_run_ends_with_the_exit_code(monkeypatch):
    monkeypatch.setattr("sys.argv", ["nutmegpostctl", "none"])
    with pytest.raises(SystemExit) as caught:
        main.run()
    assert caught.value.code == exits.Exit.USAGE


@hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(data=strategies.binary())
def test_check_accepts_what_a_router_accepts(tmp_path, data):
    path = tmp_path / "any.json"
    path.write_bytes(data)
    try:
        configuration.parse(data, "any")
        expected = exits.Exit.OK
    except errors.ConfigurationError:
        expected = exits.Exit.REFUSED
    assert _run("check", str(path)) == expected

"""The program that checks a configuration before it is published."""

import json
import os
import subprocess
import sys

import pytest
import standin

from nutmegpost_ctl import exits
from nutmegpost_platform import check
from nutmegpost_platform import documents


def _write(tmp_path, name, document):
    path = tmp_path / name
    path.write_text(json.dumps(document))
    return str(path)


def _sound(version, **fields):
    document = standin.configuration(version)
    tenants = [{"name": "desk", "apiKeys": ["secret-1"]}]
    return document | {"tenants": tenants} | fields


def _run(capsys, *arguments):
    code = check.main(["check", *arguments])
    output = capsys.readouterr()
    return code, output.out, output.err


def _run_program(code_or_module, *arguments):
    environment = os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)}
    return subprocess.run(
        [sys.executable, *code_or_module, *arguments],
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_a_sound_configuration_is_accepted(tmp_path, capsys):
    path = _write(tmp_path, "new.json", _sound(2))
    code, output, _ = _run(capsys, path)
    assert (code, output) == (exits.Exit.OK, f"{path}: ok, version 2\n")


def test_the_program_ends_with_the_exit_code_of_the_check(tmp_path):
    # Scripts rely on the code of the process, not on that of the function.
    path = _write(tmp_path, "new.json", _sound(2, services=[]))
    result = _run_program(["-m", "nutmegpost_platform.check"], path)
    assert result.returncode == exits.Exit.REFUSED, result.stderr
    assert result.stdout.count(": error: ") == 4


def test_warnings_alone_do_not_refuse(tmp_path, capsys):
    document = _sound(2)
    document["routes"][0]["prefix"] = "/look"
    path = _write(tmp_path, "new.json", document)
    code, output, _ = _run(capsys, path)
    assert code == exits.Exit.OK
    assert f"{path}: warning: $.routes[0].prefix " in output


@pytest.mark.parametrize(
    ("data", "key"),
    [
        (b"{", "$"),
        (b'{"version": 1, "routes": [], "services": [3]}', "$.services"),
    ],
)
def test_a_document_that_cannot_be_decoded_is_an_error(
    tmp_path, capsys, data, key
):
    path = tmp_path / "new.json"
    path.write_bytes(data)
    code, output, _ = _run(capsys, str(path))
    assert code == exits.Exit.REFUSED
    assert output.startswith(f"{path}: error: ")
    assert key in output


def test_duplicates_that_the_catalog_hides_are_errors(tmp_path, capsys):
    # Both are gone once the document is a catalog.
    document = _sound(2)
    document["routes"].append(document["routes"][0] | {"name": "again"})
    document["tenants"].append({"name": "line", "apiKeys": ["secret-1"]})
    path = _write(tmp_path, "new.json", document)
    code, output, _ = _run(capsys, path)
    assert code == exits.Exit.REFUSED
    assert "error: $.routes[0] " in output
    assert "error: $.tenants[1].apiKeys[0] " in output
    assert "secret" not in output


def test_a_gateway_takes_the_last_of_duplicates_as_the_check_says():
    # The check and the gateway read one decoded document in two ways.
    document = _sound(2)
    document["routes"].append(document["routes"][0] | {"name": "again"})
    document["tenants"] += [
        {"name": "line", "apiKeys": ["secret-1"], "priority": 3},
        {"name": "shop", "apiKeys": ["secret-2", "secret-3"]},
    ]
    catalog = documents.decode_configuration(json.dumps(document).encode())
    owners = [catalog.account(f"secret-{number}") for number in range(1, 5)]
    assert owners == [("line", 3), ("shop", None), ("shop", None), None]
    assert catalog.route(standin.HOST, "/look/").name == "again"
    del document["tenants"]
    catalog = documents.decode_configuration(json.dumps(document).encode())
    assert not catalog.needs_key


def test_the_differences_from_the_version_in_force_are_printed(
    tmp_path, capsys
):
    old = _write(tmp_path, "old.json", _sound(2))
    document = _sound(
        3, tenants=[{"name": "desk", "apiKeys": ["secret-2", "secret-3"]}]
    )
    document["routes"][0]["timeoutMs"] = 2000
    path = _write(tmp_path, "new.json", document)
    code, output, _ = _run(capsys, path, "--in_force", old)
    assert code == exits.Exit.OK
    assert ".timeoutMs: 3000 -> 2000\n" in output
    assert "tenants.desk.apiKeys: 2 added, 1 removed (" in output
    assert "secret" not in output


@pytest.mark.parametrize("version", [1, 2])
def test_a_version_that_is_not_higher_is_an_error(tmp_path, capsys, version):
    # The gateways would keep the version in force.
    old = _write(tmp_path, "old.json", _sound(2))
    path = _write(tmp_path, "new.json", _sound(version, limits={}))
    code, output, _ = _run(capsys, path, "--in_force", old)
    assert code == exits.Exit.REFUSED
    assert output.startswith(f"{path}: error: $.version ")


def test_the_document_in_force_is_accepted(tmp_path, capsys):
    path = _write(tmp_path, "new.json", _sound(2))
    code, output, _ = _run(capsys, path, "--in_force", path)
    assert (code, output) == (exits.Exit.OK, f"{path}: ok, version 2\n")


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["{new}", "{new}"],
        ["{new}", "--unknown"],
        ["{absent}"],
        ["{new}", "--in_force", "{absent}"],
        ["{new}", "--in_force", "{malformed}"],
    ],
)
def test_a_wrong_command_line_or_file_is_not_a_refusal(
    tmp_path, capsys, arguments
):
    (tmp_path / "malformed.json").write_text("{")
    names = {
        "new": _write(tmp_path, "new.json", _sound(2)),
        "absent": str(tmp_path / "absent.json"),
        "malformed": str(tmp_path / "malformed.json"),
    }
    code, output, error = _run(
        capsys, *(argument.format(**names) for argument in arguments)
    )
    assert (code, output) == (exits.Exit.USAGE, "")
    assert error.startswith("check: ")


def test_the_gateway_does_not_import_the_checks():
    # The deployed gateway does not contain `nutmegpost_ctl`.
    result = _run_program(
        [
            "-c",
            "import sys, nutmegpost_platform.main;"
            "print([n for n in sys.modules if n.startswith('nutmegpost_ctl')"
            " or n == 'nutmegpost_platform.check'])",
        ]
    )
    assert (result.returncode, result.stdout) == (0, "[]\n"), result.stderr

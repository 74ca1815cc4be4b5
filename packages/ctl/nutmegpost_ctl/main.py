"""The command line of `nutmegpostctl`."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
import os
import pathlib
import sys
from typing import NamedTuple, TypeVar

from absl import flags
import msgspec

from nutmegpost_core import burn
from nutmegpost_core import configuration
from nutmegpost_core import errors
from nutmegpost_core import vms
from nutmegpost_ctl import advice
from nutmegpost_ctl import burn_report
from nutmegpost_ctl import changes
from nutmegpost_ctl import exits
from nutmegpost_ctl import fleet
from nutmegpost_ctl import views
from nutmegpost_router import admin
from nutmegpost_router import settings

__all__ = ["KEY_VARIABLE", "main", "run"]

KEY_VARIABLE = "NUTMEGPOST_ADMIN_KEY"

_TITLE_NAMES_MAX = 4

_USAGE = """\
usage: nutmegpostctl COMMAND [FLAGS] [FILE...]

  check FILE...             check configuration files before they are published;
                            with --routers, also against what is in force
  check --settings FILE...  check settings files
  digest                    read a key from standard input, print its digest
  status                    state of each router
  members                   routers as each router sees them
  endpoints                 endpoints as their owners see them
  config                    configuration in force in each router
  explain                   how a request would be placed, step by step
  burn                      service-level burn by class and window

All but check and digest need --routers, and with it the administration key,
from --key_file or the environment variable NUTMEGPOST_ADMIN_KEY.

exit codes: 0 done; 1 refused; 2 wrong command line or file; 3 some routers
did not answer; 4 none did
"""

T = TypeVar("T")


class _Invocation(NamedTuple):
    """One invocation of the command.

    Attributes:
        values: Values of the flags.
        arguments: Positional arguments after the name of the command.
    """

    values: flags.FlagValues
    arguments: list[str]


def run() -> None:
    """Runs the command and ends the process with its exit code."""
    sys.exit(main(sys.argv))


def main(argv: Sequence[str]) -> int:
    """Runs one command.

    Args:
        argv: Name of the program, command, flags and files.

    Returns:
        The exit code, one of `exits.Exit`.
    """
    values = _flags()
    try:
        _, *arguments = values(list(argv))
        if values.help or not arguments:
            _print(_USAGE.rstrip() + "\n\nflags:" + values.get_help())
            return exits.Exit.OK if values.help else exits.Exit.USAGE
        command = _COMMANDS.get(arguments[0])
        if command is None:
            raise exits.UsageError(f"no command {arguments[0]!r}; see --help")
        return command(_Invocation(values, arguments[1:]))
    except flags.Error as caught:
        _print_error(str(caught))
        return exits.Exit.USAGE
    except exits.CommandError as caught:
        _print_error(str(caught))
        return caught.code


def _flags() -> flags.FlagValues:
    values = flags.FlagValues()
    values.set_gnu_getopt()
    flags.DEFINE_bool("help", False, "Show this help.", values, short_name="h")
    flags.DEFINE_bool("settings", False, "Check settings files.", values)
    flags.DEFINE_list(
        "routers", [], "Administration addresses, host:port,...", values
    )
    flags.DEFINE_string(
        "key_file", None, "File with the administration key.", values
    )
    flags.DEFINE_float(
        "timeout_s",
        5.0,
        "Longest wait for a router.",
        lower_bound=0.01,
        upper_bound=600.0,
        flag_values=values,
    )
    flags.DEFINE_string("model", "", "Model to explain.", values)
    flags.DEFINE_string("account", "", "Account to explain.", values)
    flags.DEFINE_string("chat", "", "Chat to explain.", values)
    flags.DEFINE_bool(
        "document", False, "Print the configuration itself.", values
    )
    flags.DEFINE_string("png", None, "File for the picture of burn.", values)
    flags.DEFINE_string("html", None, "File for the page of burn.", values)
    return values


def _check(invocation: _Invocation) -> int:
    paths = invocation.arguments
    if not paths:
        raise exits.UsageError("check needs a file")
    if invocation.values.settings:
        accepted = [_check_settings(path) for path in paths]
    else:
        in_force = _highest_in_force(invocation)
        accepted = [_check_configuration(path, in_force) for path in paths]
    return exits.Exit.OK if all(accepted) else exits.Exit.REFUSED


def _check_settings(path: str) -> bool:
    try:
        parsed = settings.parse(_read(path), path)
    except errors.SettingsError as caught:
        _print(f"refused: {caught}")
        return False
    _print(f"{path}: ok, router {parsed['name']} in {parsed['zone']}")
    return True


def _highest_in_force(
    invocation: _Invocation,
) -> admin.ConfigurationStatus | None:
    """Returns the highest version in force, or None without --routers."""
    if not invocation.values.routers:
        return None
    without_files = invocation._replace(arguments=[])
    answers = _fetch_views(
        without_files, "/admin/configuration", admin.ConfigurationStatus
    )
    return max(answers.values, key=lambda view: view["version"])


def _check_configuration(
    path: str, in_force: admin.ConfigurationStatus | None
) -> bool:
    try:
        published = configuration.parse(_read(path), path)
    except errors.ConfigurationError as caught:
        _print(f"refused: {caught}")
        return False
    if in_force is not None:
        reason = changes.refusal_reason(
            published.version,
            published.digest,
            in_force["version"],
            in_force["digest"],
        )
        if reason:
            _print(f"refused: {path}: $.version: {reason}")
            return False
    _print(f"{path}: ok, version {published.version}, {published.digest}")
    for remark in advice.advise(published):
        _print(f"{path}: odd: {remark.key} {remark.text}")
    if in_force is not None and in_force["document"] is not None:
        _print_changes(path, in_force["document"], published.document)
    return True


def _print_changes(
    path: str,
    before: configuration.Document,
    after: configuration.Document,
) -> None:
    for change in changes.compare(before, after):
        effect = f" ({change.effect})" if change.effect else ""
        _print(f"{path}: change: {change.key}: {change.text}{effect}")


def _digest(invocation: _Invocation) -> int:
    if invocation.arguments:
        # A key on the command line would be visible in the process list.
        raise exits.UsageError("digest reads the key from standard input")
    key = sys.stdin.readline().rstrip("\r\n")
    if not key:
        raise exits.UsageError("no key on standard input")
    _print(configuration.key_digest(key))
    return exits.Exit.OK


def _status(invocation: _Invocation) -> int:
    answers = _fetch_views(invocation, "/admin/status", admin.Status)
    _print(views.status_text(answers.values))
    for text in views.disagreements(answers.values):
        _print_error(text)
    return answers.code


def _members(invocation: _Invocation) -> int:
    answers = _fetch_views(invocation, "/admin/members", admin.MembersStatus)
    _print(views.members_text(answers.values))
    return answers.code


def _endpoints(invocation: _Invocation) -> int:
    answers = _fetch_views(
        invocation, "/admin/endpoints", admin.EndpointsStatus
    )
    _print(views.endpoints_text(answers.values))
    return answers.code


def _config(invocation: _Invocation) -> int:
    answers = _fetch_views(
        invocation, "/admin/configuration", admin.ConfigurationStatus
    )
    if invocation.values.document:
        latest = max(answers.values, key=lambda view: view["version"])
        data = msgspec.json.encode(latest["document"])
        _print(msgspec.json.format(data, indent=2).decode())
    else:
        _print(views.configuration_text(answers.values))
    return answers.code


def _explain(invocation: _Invocation) -> int:
    values = invocation.values
    if not values.model or not values.account:
        raise exits.UsageError("explain needs --model and --account")
    query = {"model": values.model, "account": values.account}
    if values.chat:
        query["chat"] = values.chat
    answers = _fetch_views(
        invocation, "/admin/explain", admin.Explanation, query
    )
    for view in answers.values:
        _print(views.explanation_text(view))
    return answers.code


def _burn(invocation: _Invocation) -> int:
    answers = _fetch_views(invocation, "/admin/burn", admin.BurnStatus)
    rows = burn.merge(
        [burn.BurnRow(**window) for window in view["windows"]]
        for view in answers.values
    )
    _print(burn_report.text(rows))
    names = sorted(view["name"] for view in answers.values)
    if len(names) > _TITLE_NAMES_MAX:
        names = [f"{len(names)} routers"]
    title = f"Service-level burn of {', '.join(names)}"
    _write_report_files(invocation.values, rows, title)
    return answers.code


def _write_report_files(
    values: flags.FlagValues, rows: list[burn.BurnRow], title: str
) -> None:
    if not values.png and not values.html:
        return
    # Imported on demand; the import takes longer than any other command.
    from nutmegpost_ctl import picture

    image = picture.draw(rows, title)
    if values.png:
        _write(values.png, image)
    if values.html:
        page = burn_report.page(rows, title, image)
        _write(values.html, page.encode())


def _fetch_views(
    invocation: _Invocation,
    path: str,
    view_type: type[T],
    query: Mapping[str, str] | None = None,
) -> fleet.Answers[T]:
    """Fetches a view from all routers and prints the failures.

    Raises:
        exits.CommandError: The command line is wrong, or no router returned
            a view.
    """
    if invocation.arguments:
        raise exits.UsageError(f"not expected: {invocation.arguments[0]!r}")
    addresses = _addresses(invocation.values)
    key = _admin_key(invocation.values)
    timeout_s = invocation.values.timeout_s
    answers = asyncio.run(
        fleet.fetch(addresses, path, query or {}, key, view_type, timeout_s)
    )
    if not answers.values:
        raise answers.failures[0]
    for failure in answers.failures:
        _print_error(str(failure))
    return answers


def _addresses(values: flags.FlagValues) -> list[vms.Address]:
    if not values.routers:
        raise exits.UsageError("--routers is missing")
    try:
        return [vms.parse_address(text) for text in values.routers]
    except ValueError as caught:
        raise exits.UsageError(f"--routers: {caught}") from caught


def _admin_key(values: flags.FlagValues) -> str:
    if values.key_file:
        key = _read(values.key_file).decode("utf-8", "replace").strip()
    else:
        key = os.environ.get(KEY_VARIABLE, "").strip()
    if not key:
        raise exits.KeyFileError(
            f"no administration key: give --key_file or set {KEY_VARIABLE}"
        )
    if not key.isascii() or not key.isprintable():
        raise exits.KeyFileError("the administration key is not plain text")
    return key


def _read(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except (OSError, ValueError) as caught:
        raise exits.UsageError(f"{path}: {caught}") from caught


def _write(path: str, data: bytes) -> None:
    try:
        pathlib.Path(path).write_bytes(data)
    except (OSError, ValueError) as caught:
        raise exits.UsageError(f"{path}: {caught}") from caught


def _print(text: str) -> None:
    sys.stdout.write(text + "\n")


def _print_error(text: str) -> None:
    sys.stderr.write(f"nutmegpostctl: {text}\n")


_COMMANDS: dict[str, Callable[[_Invocation], int]] = {
    "check": _check,
    "digest": _digest,
    "status": _status,
    "members": _members,
    "endpoints": _endpoints,
    "config": _config,
    "explain": _explain,
    "burn": _burn,
}

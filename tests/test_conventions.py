"""Conventions of the source tree that the linter does not check."""

import ast
import functools
import importlib
import importlib.util
import pathlib
import re
import string
import typing

import pytest

from nutmegpost_core import charts
from nutmegpost_core import configuration
from nutmegpost_core import events
from nutmegpost_ctl import exits
from nutmegpost_ctl import main as ctl_main
from nutmegpost_router import metrics
from nutmegpost_router import settings
from nutmegpost_router.gateway import metrics as gateway_metrics
from nutmegpost_router.gateway import settings as gateway_settings

_ROOT = pathlib.Path(__file__).parents[1]
_SHIPPED = ("core", "router", "ctl", "platform")
_SOURCES = sorted(
    [
        *_ROOT.glob("packages/*/nutmegpost_*/**/*.py"),
        *_ROOT.glob("platform/nutmegpost_*/**/*.py"),
    ]
)
_NAME_IMPORTS = ("typing", "collections.abc")
# Processes start no other process and share no memory.
_FORBIDDEN_MODULES = {
    "concurrent.futures.process",
    "ctypes",
    "mmap",
    "multiprocessing",
    "posix",
    "pty",
    "subprocess",
    "uvloop",
}
_FORBIDDEN_CALLS = re.compile(
    r"^(os\.(fork|forkpty|system|popen|posix_spawnp?|spawn\w+|exec\w+)"
    r"|asyncio\.(create_)?subprocess\w*"
    r"|concurrent\.futures\.ProcessPoolExecutor"
    r"|multiprocessing\.shared_memory\w*)$"
)
# Address conversions, which open no socket.
_PURE_OF_SOCKET = {"socket.inet_aton", "socket.inet_ntoa"}
# The core package gets time and randomness as arguments.
_FORBIDDEN_IN_CORE = {
    "asyncio",
    "datetime",
    "os",
    "secrets",
    "select",
    "ssl",
    "threading",
    "time",
}


def _name(path):
    return str(path.relative_to(_ROOT))


def _package(path):
    parts = path.relative_to(_ROOT).parts
    return parts[1] if parts[0] == "packages" else parts[0]


@functools.cache
def _tree(path):
    return ast.parse(path.read_text(), _name(path))


def _module(path):
    parts = path.relative_to(_ROOT).with_suffix("").parts
    start = next(
        i for i, part in enumerate(parts) if part.startswith("nutmegpost_")
    )
    return ".".join(parts[start:]).removesuffix(".__init__")


def _exports(tree):
    for node in tree.body:
        if isinstance(node, ast.Assign) and [
            target.id for target in node.targets if hasattr(target, "id")
        ] == ["__all__"]:
            return ast.literal_eval(node.value)
    return None


def _defined(tree):
    names = set()
    for node in tree.body:
        if isinstance(
            node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef
        ):
            names.add(node.name)
        elif isinstance(node, ast.Assign):
            names.update(
                target.id
                for target in node.targets
                if isinstance(target, ast.Name)
            )
        elif isinstance(node, ast.AnnAssign):
            names.add(node.target.id)
    return names


def _imports(tree):
    """Yields (module, name) for each import; name is None for `import`."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            for alias in node.names:
                yield alias.name, None
        elif isinstance(node, ast.ImportFrom):
            for alias in node.names:
                yield node.module, alias.name


def _modules(tree):
    """Returns the imported modules of the project by their local names."""
    return {
        alias.asname or alias.name: f"{node.module}.{alias.name}"
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom)
        and node.module.startswith("nutmegpost_")
        for alias in node.names
    }


def _event_of(node, modules):
    """Returns the event name that an expression refers to, or None."""
    first, _, name = _dotted(node).partition(".")
    return name if modules.get(first) == "nutmegpost_core.events" else None


def _dotted(node):
    """Returns the dotted name of an expression, or "" for any other one."""
    parts = []
    while isinstance(node, ast.Attribute):
        parts.append(node.attr)
        node = node.value
    if isinstance(node, ast.Name):
        return ".".join([node.id, *reversed(parts)])
    return ""


every_source = pytest.mark.parametrize("path", _SOURCES, ids=_name)
every_shipped = pytest.mark.parametrize(
    "path", [p for p in _SOURCES if _package(p) in _SHIPPED], ids=_name
)


def _is_setter(item):
    """Returns whether a method is a setter; its getter has the doc comment."""
    return any(
        isinstance(decorator, ast.Attribute) and decorator.attr == "setter"
        for decorator in item.decorator_list
    )


def _public_items(tree):
    """Yields each public class and function, and the public methods."""
    for node in tree.body:
        if not isinstance(
            node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef
        ) or node.name.startswith("_"):
            continue
        yield node
        if isinstance(node, ast.ClassDef):
            for item in node.body:
                if isinstance(
                    item, ast.FunctionDef | ast.AsyncFunctionDef
                ) and not (item.name.startswith("_") or _is_setter(item)):
                    yield item


@every_source
def test_modules_and_public_items_have_doc_comments(path):
    tree = _tree(path)
    assert ast.get_docstring(tree)
    missing = [
        item.name for item in _public_items(tree) if not ast.get_docstring(item)
    ]
    assert missing == []


@every_source
def test_exports_are_present_and_complete(path):
    if path.name == "__init__.py":
        return
    tree = _tree(path)
    exports = _exports(tree)
    assert exports is not None, "no __all__"
    assert len(set(exports)) == len(exports)
    assert set(exports) <= _defined(tree)
    public = {
        node.name
        for node in tree.body
        if isinstance(
            node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef
        )
        and not node.name.startswith("_")
    }
    assert public <= set(exports)


@every_source
def test_modules_are_imported_and_not_names(path):
    for module, name in _imports(_tree(path)):
        if name is None or module in _NAME_IMPORTS:
            continue
        spec = importlib.util.find_spec(f"{module}.{name}")
        assert spec, f"from {module} import {name}"


@every_source
def test_no_private_name_of_another_module_is_used(path):
    tree = _tree(path)
    imported = set(_modules(tree))
    for node in ast.walk(tree):
        if isinstance(node, ast.Attribute) and node.attr.startswith("_"):
            first = _dotted(node).partition(".")[0]
            dunder = node.attr.startswith("__")
            assert dunder or first not in imported, _dotted(node)


@every_source
def test_names_used_across_modules_are_exported(path):
    tree = _tree(path)
    modules = _modules(tree)
    for node in ast.walk(tree):
        if not isinstance(node, ast.Attribute):
            continue
        first, _, name = _dotted(node).partition(".")
        if first not in modules or "." in name:
            continue
        # The constants of the catalogue are exported by `catalogue`.
        if _event_of(node, modules) in _events_by_name():
            continue
        exports = importlib.import_module(modules[first]).__all__
        assert name in exports, f"{first}.{name}"


@every_shipped
def test_no_process_is_started_and_no_memory_shared(path):
    tree = _tree(path)
    for module, name in _imports(tree):
        for imported in (module, f"{module}.{name}"):
            roots = {imported, imported.partition(".")[0]}
            assert not roots & _FORBIDDEN_MODULES, imported
            assert not _FORBIDDEN_CALLS.match(imported), imported
    for node in ast.walk(tree):
        assert not _FORBIDDEN_CALLS.match(_dotted(node)), _dotted(node)


@pytest.mark.parametrize(
    "path", [p for p in _SOURCES if _package(p) == "core"], ids=_name
)
def test_core_has_no_clock_socket_or_randomness_of_its_own(path):
    tree = _tree(path)
    for module, name in _imports(tree):
        assert module.partition(".")[0] not in _FORBIDDEN_IN_CORE, module
        assert not (module in ("random", "socket") and name), name
    for node in ast.walk(tree):
        dotted = _dotted(node)
        if dotted.startswith("socket."):
            assert dotted in _PURE_OF_SOCKET, dotted
        if dotted.startswith("random."):
            assert dotted.startswith("random.Random"), dotted


@every_source
def test_triggers_are_defined_in_a_chart(path):
    triggers = {
        trigger
        for name in charts.NAMES
        for moves in charts.definition(name).moves.values()
        for trigger in moves
    }
    for node in ast.walk(_tree(path)):
        if (
            isinstance(node, ast.Call)
            and isinstance(node.func, ast.Attribute)
            and node.func.attr in ("fire", "allows")
            and node.args
            and isinstance(node.args[0], ast.Constant)
        ):
            assert node.args[0].value in triggers


def _fields(event):
    return {
        field
        for _, field, _, _ in string.Formatter().parse(event.template)
        if field
    }


@every_source
def test_events_get_the_fields_of_their_template(path):
    tree = _tree(path)
    modules = _modules(tree)
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call):
            continue
        if _dotted(node.func) not in ("log.emit", "invariants.check"):
            continue
        names = [_event_of(argument, modules) for argument in node.args]
        event_names = [name for name in names if name]
        keywords = {keyword.arg for keyword in node.keywords}
        # A keyword of None is `**fields`, whose names are not in the source.
        if len(event_names) != 1 or None in keywords:
            continue
        assert keywords == _fields(getattr(events, event_names[0])), (
            event_names[0]
        )


def _events_by_name():
    return {
        name: value
        for name, value in vars(events).items()
        if isinstance(value, events.Event)
    }


def _used_events(path):
    tree = _tree(path)
    modules = _modules(tree)
    return {_event_of(node, modules) for node in ast.walk(tree)}


def test_every_event_is_used():
    used = set().union(*(_used_events(path) for path in _SOURCES))
    assert sorted(set(_events_by_name()) - used) == []


def _doc(name):
    return (_ROOT / "docs" / name).read_text()


def _first_cells(text):
    """Returns the code in the first cell of each row of the tables."""
    return re.findall(r"^\| `([^`]+)`", text, re.M)


def test_the_catalogue_lists_each_event_with_its_number_and_level():
    rows = re.findall(
        r"^\| (\d{3}) \| `(\w+)` \| (\w+) \|", _doc("EVENTS.md"), re.M
    )
    expected = [
        (str(value.number), name, value.level)
        for name, value in _events_by_name().items()
    ]
    assert sorted(rows) == sorted(expected)


def _keys(kind, keys=None):
    """Returns `Type.key` for a TypedDict and the TypedDicts nested in it."""
    keys = set() if keys is None else keys
    for key, inner in typing.get_type_hints(kind).items():
        keys.add(f"{kind.__name__}.{key}")
        for part in [inner, *typing.get_args(inner)]:
            if typing.is_typeddict(part):
                _keys(part, keys)
    return keys


def _documented_keys(text):
    """Returns `Type.key` from tables under headings `## Type`."""
    keys = set()
    heading = ""
    for line in text.splitlines():
        if match := re.match(r"#+ .*`(\w+)`", line):
            heading = match[1]
        elif match := re.match(r"\| `(\w+)`", line):
            keys.add(f"{heading}.{match[1]}")
    return keys


def test_every_setting_is_documented_and_nothing_else():
    expected = _keys(settings.Settings)
    expected |= _keys(gateway_settings.GatewaySettings)
    assert _documented_keys(_doc("SETTINGS.md")) == expected


def test_every_key_of_the_configuration_is_documented_and_nothing_else():
    expected = _keys(configuration.Document)
    assert _documented_keys(_doc("CONFIGURATION.md")) == expected


def test_every_metric_is_documented_and_nothing_else():
    names = {
        family.name
        for registry in (
            metrics.Metrics().registry,
            gateway_metrics.GatewayMetrics().registry,
        )
        for family in registry.collect()
        if family.name.startswith("nutmegpost_")
    }
    documented = {
        name.removesuffix("_total")
        for name in _first_cells(_doc("METRICS.md"))
        if name.startswith("nutmegpost_")
    }
    assert documented == names


def test_the_operators_page_lists_every_command_and_exit_code():
    text = _doc("OPERATORS.md")
    for name in ctl_main._COMMANDS:
        assert f"`nutmegpostctl {name}" in text, name
    codes = re.findall(r"^\| (\d) \| ", text, re.M)
    assert codes == [str(int(code)) for code in exits.Exit]


def test_the_architecture_names_every_module_and_no_other():
    text = (_ROOT / "ARCHITECTURE.md").read_text()
    named = set(re.findall(r"`(\w+\.py)`", text))
    shipped = {
        path.name
        for path in _SOURCES
        if _package(path) in _SHIPPED and path.name != "__init__.py"
    }
    assert named == shipped


def _pages():
    return sorted([*_ROOT.glob("*.md"), *_ROOT.glob("docs/**/*.md")])


@pytest.mark.parametrize("page", _pages(), ids=_name)
def test_links_and_paths_of_a_page_exist(page):
    text = page.read_text()
    for target in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", text):
        assert (page.parent / target).exists(), target
    for target in re.findall(
        r"`((?:packages|docs|tests|examples|scripts)/[\w./-]+)`", text
    ):
        assert (_ROOT / target).exists(), target

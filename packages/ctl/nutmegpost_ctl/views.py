"""The text forms of the views of the administration API."""

from collections.abc import Sequence

from nutmegpost_ctl import tables
from nutmegpost_router import admin

__all__ = [
    "configuration_text",
    "disagreements",
    "endpoints_text",
    "explanation_text",
    "members_text",
    "status_text",
]


def status_text(views: Sequence[admin.Status]) -> str:
    """Returns one line for each router."""
    counts = sorted({name for view in views for name in view["counts"]})
    heads = ["router", "zone", "state", "up", "configuration", "digest"]
    heads += ["VM list", *(name.replace("_", " ") for name in counts)]
    rows = [
        [
            view["name"],
            view["zone"],
            view["state"],
            tables.duration(view["uptime_s"]),
            view["configuration_version"],
            tables.short_digest(view["configuration_digest"]),
            view["vm_list_version"],
            *(view["counts"].get(name) for name in counts),
        ]
        for view in views
    ]
    return tables.table(heads, rows)


def disagreements(views: Sequence[admin.Status]) -> list[str]:
    """Returns what the routers do not agree on, for people."""
    found = []
    versions = {view["configuration_version"] for view in views}
    if len(versions) > 1:
        text = ", ".join(str(version) for version in sorted(versions))
        found.append(f"configuration versions differ: {text}")
    for version in sorted(versions):
        digests = {
            view["configuration_digest"]
            for view in views
            if view["configuration_version"] == version
        }
        if len(digests) > 1:
            found.append(f"version {version} has {len(digests)} contents")
    return found


def members_text(views: Sequence[admin.MembersStatus]) -> str:
    """Returns one line for each member that each router sees."""
    rows = [
        [
            view["name"],
            item["name"],
            item["address"],
            item["zone"],
            item["state"],
            item["configuration_version"],
        ]
        for view in views
        for item in view["members"]
    ]
    heads = ["seen by", "member", "address", "zone", "state", "configuration"]
    return tables.table(heads, rows)


def endpoints_text(views: Sequence[admin.EndpointsStatus]) -> str:
    """Returns one line for each endpoint, as its owner sees it.

    An endpoint that no asked router owns is shown as the first one that
    knows it sees it.
    """
    chosen: dict[str, admin.EndpointStatus] = {}
    for view in views:
        for item in view["endpoints"]:
            is_owner = item["owner"] == view["name"]
            if is_owner or item["name"] not in chosen:
                chosen[item["name"]] = item
    rows = [
        [
            item["name"],
            item["pool"],
            item["owner"] or "-",
            item["state"],
            item["load"],
            item["bound"],
            item["waiting"],
            item["version"] or "-",
        ]
        for _, item in sorted(chosen.items())
    ]
    heads = ["endpoint", "pool", "owner", "state", "load", "bound"]
    return tables.table([*heads, "waiting", "version"], rows)


def configuration_text(views: Sequence[admin.ConfigurationStatus]) -> str:
    """Returns one line for each router."""
    rows = [
        [view["name"], view["version"], tables.short_digest(view["digest"])]
        for view in views
    ]
    return tables.table(["router", "version", "digest"], rows)


def explanation_text(view: admin.Explanation) -> str:
    """Returns the steps of one decision."""
    chat = f", chat {view['chat']}" if view["chat"] else ""
    lines = [
        f"{view['model']} for {view['account']}{chat}, as {view['name']} "
        "places it:"
    ]
    lines.extend(
        f"{number:3}. {step}" for number, step in enumerate(view["steps"], 1)
    )
    engine = view["engine"] or "no engine"
    owner = f", owned by {view['owner']}" if view["owner"] else ""
    lines.append(f"result: {engine}{owner}")
    return "\n".join(lines)

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
    headers = ["router", "zone", "state", "up", "configuration", "digest"]
    headers += ["VM list", *(name.replace("_", " ") for name in counts)]
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
    return tables.table(headers, rows)


def disagreements(views: Sequence[admin.Status]) -> list[str]:
    """Returns the differences in configuration between the routers."""
    differences = []
    versions = {view["configuration_version"] for view in views}
    if len(versions) > 1:
        text = ", ".join(str(version) for version in sorted(versions))
        differences.append(f"configuration versions differ: {text}")
    for version in sorted(versions):
        digests = {
            view["configuration_digest"]
            for view in views
            if view["configuration_version"] == version
        }
        if len(digests) > 1:
            differences.append(f"version {version} has {len(digests)} contents")
    return differences


def members_text(views: Sequence[admin.MembersStatus]) -> str:
    """Returns one line for each member in the view of each router."""
    rows = [
        [
            view["name"],
            member["name"],
            member["address"],
            member["zone"],
            member["state"],
            member["configuration_version"],
        ]
        for view in views
        for member in view["members"]
    ]
    headers = ["seen by", "member", "address", "zone", "state", "configuration"]
    return tables.table(headers, rows)


def endpoints_text(views: Sequence[admin.EndpointsStatus]) -> str:
    """Returns one line for each endpoint, as its owner sees it.

    If the owner of an endpoint is not among the routers, the line comes from
    the first view that lists the endpoint.
    """
    endpoints_by_name: dict[str, admin.EndpointStatus] = {}
    for view in views:
        for endpoint in view["endpoints"]:
            is_owner = endpoint["owner"] == view["name"]
            if is_owner or endpoint["name"] not in endpoints_by_name:
                endpoints_by_name[endpoint["name"]] = endpoint
    rows = [
        [
            endpoint["name"],
            endpoint["pool"],
            endpoint["owner"] or "-",
            endpoint["state"],
            endpoint["load"],
            endpoint["bound"],
            endpoint["waiting"],
            endpoint["version"] or "-",
        ]
        for _, endpoint in sorted(endpoints_by_name.items())
    ]
    headers = ["endpoint", "pool", "owner", "state", "load", "bound"]
    return tables.table([*headers, "waiting", "version"], rows)


def configuration_text(views: Sequence[admin.ConfigurationStatus]) -> str:
    """Returns one line for each router."""
    rows = [
        [view["name"], view["version"], tables.short_digest(view["digest"])]
        for view in views
    ]
    return tables.table(["router", "version", "digest"], rows)


def explanation_text(view: admin.Explanation) -> str:
    """Returns the steps of a placement, numbered, and its result."""
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

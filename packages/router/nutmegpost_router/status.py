"""Builds the views of the administration API from the state of the router."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from nutmegpost_core import acceptance
from nutmegpost_core import burn
from nutmegpost_core import membership
from nutmegpost_router import admin
from nutmegpost_router import metrics
from nutmegpost_router import owner
from nutmegpost_router import view

__all__ = ["Parts", "admin_source"]


class Parts(NamedTuple):
    """The parts of a router that the views read.

    Attributes:
        incarnation: Incarnation of the process.
        state: Returns the state of the router's chart.
        uptime_s: Returns the seconds since the start.
        view: View of the endpoints, the routers and the configuration.
        owner: The engines that this router owns.
        members: Membership of the routers.
        acceptance: The configuration in force.
        burn: Service-level burn counts.
        metrics: Metrics of the process.
        open_requests: Returns the number of requests being answered.
    """

    incarnation: int
    state: Callable[[], str]
    uptime_s: Callable[[], float]
    view: view.View
    owner: owner.Owner
    members: membership.Membership
    acceptance: acceptance.Acceptance
    burn: burn.BurnCounter
    metrics: metrics.Metrics
    open_requests: Callable[[], int]


def admin_source(parts: Parts) -> admin.AdminSource:
    """Returns the functions that build the views."""
    return admin.AdminSource(
        status=lambda: _status(parts),
        members=lambda: _members(parts),
        endpoints=lambda: _endpoints(parts),
        configuration=lambda: _configuration(parts),
        explain=lambda model, account, chat: _explain(
            parts, model, account, chat
        ),
        burn=lambda: parts.burn.report(_now()),
        metrics=lambda: _metrics(parts),
    )


def _now() -> float:
    return asyncio.get_running_loop().time()


def _status(parts: Parts) -> admin.Status:
    published = parts.acceptance.in_force
    return admin.Status(
        name=parts.view.name,
        zone=parts.view.zone,
        incarnation=parts.incarnation,
        state=parts.state(),
        uptime_s=round(parts.uptime_s(), 3),
        configuration_version=published.version if published else 0,
        configuration_digest=published.digest if published else "",
        vm_list_version=parts.view.vm_version,
        counts={
            "members": len(parts.members.alive),
            "endpoints": len(parts.view.endpoints),
            "owned": len(parts.owner.tasks),
            "open": parts.open_requests(),
            "in_flight": parts.owner.in_flight,
        },
    )


def _members(parts: Parts) -> admin.MembersStatus:
    members = [
        admin.MemberStatus(
            name=member.name,
            address=member.public_address,
            zone=member.zone,
            state=str(member.state),
            incarnation=member.incarnation,
            configuration_version=member.config_version,
        )
        for member in sorted(parts.members.members.values())
    ]
    return admin.MembersStatus(name=parts.view.name, members=members)


def _endpoints(parts: Parts) -> admin.EndpointsStatus:
    endpoints = [
        _endpoint(parts, endpoint)
        for _, endpoint in sorted(parts.view.endpoints.items())
    ]
    return admin.EndpointsStatus(name=parts.view.name, endpoints=endpoints)


def _endpoint(parts: Parts, endpoint: view.Endpoint) -> admin.EndpointStatus:
    task = parts.owner.tasks.get(endpoint.name)
    is_engine = endpoint.kind == "engine"
    return admin.EndpointStatus(
        name=endpoint.name,
        pool=endpoint.pool,
        owner=parts.view.owner(endpoint.name) if is_engine else "",
        state=task.state if task else "",
        load=parts.view.loads.load_of(endpoint.name),
        bound=task.limit if task else 0,
        waiting=task.queue.waiting if task else 0,
        version=task.last_report.get("version", "") if task else "",
    )


def _configuration(parts: Parts) -> admin.ConfigurationStatus:
    published = parts.acceptance.in_force
    return admin.ConfigurationStatus(
        name=parts.view.name,
        version=published.version if published else 0,
        digest=published.digest if published else "",
        document=published.document if published else None,
    )


def _explain(
    parts: Parts, model: str, account: str, chat: str
) -> admin.Explanation:
    parts.view.directory.model(model)
    choice = parts.owner.explain(model, account, chat)
    engine = choice.engine
    return admin.Explanation(
        name=parts.view.name,
        model=model,
        account=account,
        chat=chat,
        engine=engine,
        owner=parts.view.owner(engine) if engine else "",
        steps=[*choice.steps, f"reason: {choice.reason}"],
    )


def _metrics(parts: Parts) -> bytes:
    counts = parts.members.traffic_budget.counts
    parts.metrics.update_control_totals(
        {kind.name.lower(): count.bytes for kind, count in counts.items()}
    )
    parts.metrics.retain_endpoints(parts.owner.tasks)
    for name, task in parts.owner.tasks.items():
        parts.metrics.set_endpoint_load(
            name, task.queue.waiting, task.in_flight
        )
    return parts.metrics.render()

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

__all__ = ["Components", "admin_source"]


class Components(NamedTuple):
    """The components of a router that the views read.

    Attributes:
        incarnation: Incarnation of the process.
        state: Returns the state of the router's chart.
        uptime_s: Returns the seconds since the start.
        view: View of the endpoints, the routers and the configuration.
        owner: The engines that this router owns.
        members: Membership of the routers.
        acceptance: The configuration in force.
        burn: Counters of the service-level error budgets.
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


def admin_source(components: Components) -> admin.AdminSource:
    """Returns the functions that build the views."""
    return admin.AdminSource(
        status=lambda: _status(components),
        members=lambda: _members(components),
        endpoints=lambda: _endpoints(components),
        configuration=lambda: _configuration(components),
        explain=lambda model, account, chat: _explain(
            components, model, account, chat
        ),
        burn=lambda: components.burn.report(_now()),
        metrics=lambda: _metrics(components),
    )


def _now() -> float:
    return asyncio.get_running_loop().time()


def _status(components: Components) -> admin.Status:
    published = components.acceptance.in_force
    return admin.Status(
        name=components.view.name,
        zone=components.view.zone,
        incarnation=components.incarnation,
        state=components.state(),
        uptime_s=round(components.uptime_s(), 3),
        configuration_version=published.version if published else 0,
        configuration_digest=published.digest if published else "",
        vm_list_version=components.view.vm_version,
        counts={
            "members": len(components.members.alive),
            "endpoints": len(components.view.endpoints),
            "owned": len(components.owner.tasks),
            "open": components.open_requests(),
            "in_flight": components.owner.in_flight,
        },
    )


def _members(components: Components) -> admin.MembersStatus:
    members = [
        admin.MemberStatus(
            name=member.name,
            address=member.public_address,
            zone=member.zone,
            state=str(member.state),
            incarnation=member.incarnation,
            configuration_version=member.config_version,
        )
        for member in sorted(components.members.members.values())
    ]
    return admin.MembersStatus(name=components.view.name, members=members)


def _endpoints(components: Components) -> admin.EndpointsStatus:
    endpoints = [
        _endpoint(components, endpoint)
        for _, endpoint in sorted(components.view.endpoints.items())
    ]
    return admin.EndpointsStatus(name=components.view.name, endpoints=endpoints)


def _endpoint(
    components: Components, endpoint: view.Endpoint
) -> admin.EndpointStatus:
    task = components.owner.tasks.get(endpoint.name)
    is_engine = endpoint.kind == "engine"
    return admin.EndpointStatus(
        name=endpoint.name,
        pool=endpoint.pool,
        owner=components.view.owner(endpoint.name) if is_engine else "",
        state=task.state if task else "",
        load=components.view.loads.load_of(endpoint.name),
        bound=task.limit if task else 0,
        waiting=task.queue.waiting if task else 0,
        version=task.last_report.get("version", "") if task else "",
    )


def _configuration(components: Components) -> admin.ConfigurationStatus:
    published = components.acceptance.in_force
    return admin.ConfigurationStatus(
        name=components.view.name,
        version=published.version if published else 0,
        digest=published.digest if published else "",
        document=published.document if published else None,
    )


def _explain(
    components: Components, model: str, account: str, chat: str
) -> admin.Explanation:
    components.view.directory.model(model)
    choice = components.owner.explain(model, account, chat)
    engine = choice.engine
    return admin.Explanation(
        name=components.view.name,
        model=model,
        account=account,
        chat=chat,
        engine=engine,
        owner=components.view.owner(engine) if engine else "",
        steps=[*choice.steps, f"reason: {choice.reason}"],
    )


def _metrics(components: Components) -> bytes:
    counts = components.members.traffic_budget.counts
    components.metrics.update_control_totals(
        {kind.name.lower(): count.bytes for kind, count in counts.items()}
    )
    components.metrics.retain_endpoints(components.owner.tasks)
    for name, task in components.owner.tasks.items():
        components.metrics.set_endpoint_load(
            name, task.queue.waiting, task.in_flight
        )
    return components.metrics.render()

"""Checks of the soak of planned stops, as the rules of the platform say."""

import collections
import itertools
from typing import NamedTuple

GRACE_S = 8.0
CONFIG_S = 2.0
LOST_S = 0.2
# Time after the end of the grace, and after that of a configuration.
AFTER_S = 1.0
# The last sixth of the grace, for requests sent up to this after the signal.
LAST_PART_FROM_S = GRACE_S * 5 / 6
SENT_UNTIL_S = 3.0
# A request that has used this share of its time doesn't count beside a
# configuration.
USED_SHARE = 0.7
CONFIG_RATE = 3.0
# Work that goes on at another runner beside that of the one before.
DOUBLE_WORK_S = 0.4
# Answers later than this before the deadline count as in time.
DEADLINE_MARGIN_S = 0.05


class Planned(NamedTuple):
    """Planned work.

    Attributes:
        kind: `stop`, `reload` or `configuration`.
        gateway: Name of the gateway; empty for a configuration.
        at: Time of the signal or the acknowledgement, seconds.
    """

    kind: str
    gateway: str
    at: float


class Lost(NamedTuple):
    """A request that was read whole and got no complete answer.

    Attributes:
        outcome: What the caller saw.
        planned: The planned work beside it; None for none.
        is_passed_on: Whether it had been passed on to a runner.
    """

    outcome: object
    planned: Planned | None
    is_passed_on: bool


def unanswered(outcomes, runs):
    """Returns the requests that were cut, pairs of outcome and passed-on.

    Left out are those that a runner broke off, whose deadline was reached, and
    those that crossed the close of their connection.
    """
    by_identity = _by_identity(runs)
    found = []
    for outcome in outcomes:
        own = by_identity[outcome.plan.identity]
        if (
            outcome.is_complete
            or outcome.sent_at > outcome.ended_at
            or outcome.ended_at >= outcome.deadline - DEADLINE_MARGIN_S
            or any(run.is_broken_off for run in own)
        ):
            continue
        if own or outcome.ended_at - outcome.sent_at > LOST_S:
            found.append((outcome, bool(own)))
    return found


def find_lost(outcomes, runs, planned, spans):
    """Returns the requests that broke rule LOST, and all others that were cut.

    Args:
        outcomes: What callers saw.
        runs: What runners worked on.
        planned: The planned work.
        spans: Begin and end of the play, seconds.
    """
    by_identity = _by_identity(runs)
    lost, others = [], []
    for outcome, is_passed_on in unanswered(outcomes, runs):
        own = by_identity[outcome.plan.identity]
        if _is_excused(outcome, own, planned):
            continue
        work = _work_beside(outcome, planned)
        found = others if work is None else lost
        found.append(Lost(outcome, work, is_passed_on))
    beside, apart = _split_by_configuration(others, planned)
    inside_s = _covered_s(planned, spans)
    outside_s = max(0.001, spans[1] - spans[0] - inside_s)
    for name in {cut.outcome.gateway for cut in beside}:
        own = [cut for cut in beside if cut.outcome.gateway == name]
        away = [cut for cut in apart if cut.outcome.gateway == name]
        rate = CONFIG_RATE * len(away) / outside_s
        if inside_s and len(own) / inside_s > rate:
            lost += own
            beside = [cut for cut in beside if cut not in own]
    return lost, beside + apart


def _by_identity(runs):
    by_identity = collections.defaultdict(list)
    for run in runs:
        by_identity[run.identity].append(run)
    return by_identity


def _is_excused(outcome, runs, planned):
    """Returns whether a runner was still at work when the grace was over."""
    return any(
        0 <= outcome.ended_at - work.at <= GRACE_S + AFTER_S
        and _is_at_work_late(outcome, runs, work.at)
        for work in planned
        if work.kind == "stop" and work.gateway == outcome.gateway
    )


def _work_beside(outcome, planned):
    """Returns the signal that a cut counts beside; None for none."""
    for work in planned:
        after_s = outcome.ended_at - work.at
        if work.gateway != outcome.gateway or after_s < 0:
            continue
        if work.kind == "stop" and after_s <= GRACE_S + AFTER_S:
            return work
        if work.kind == "reload" and outcome.begun_at <= work.at + CONFIG_S:
            return work
    return None


def _is_at_work_late(outcome, runs, stopped_at):
    begin, end = stopped_at + LAST_PART_FROM_S, stopped_at + GRACE_S
    return outcome.begun_at <= stopped_at + SENT_UNTIL_S and any(
        run.begin <= end and run.end >= begin for run in runs
    )


def _split_by_configuration(cuts, planned):
    beside, apart = [], []
    times = [work.at for work in planned if work.kind == "configuration"]
    for cut in cuts:
        outcome = cut.outcome
        used = outcome.ended_at - outcome.begun_at
        is_beside = any(
            0 <= outcome.ended_at - at <= CONFIG_S + AFTER_S for at in times
        ) and used < USED_SHARE * (outcome.deadline - outcome.begun_at)
        (beside if is_beside else apart).append(
            cut._replace(
                planned=Planned("configuration", "", 0.0) if is_beside else None
            )
        )
    return beside, apart


def _covered_s(planned, spans):
    """Returns for how long of a span configurations are planned work."""
    covered_s, until = 0.0, spans[0]
    for work in sorted(planned, key=lambda work: work.at):
        if work.kind == "configuration":
            end = min(spans[1], work.at + CONFIG_S + AFTER_S)
            covered_s += max(0.0, end - max(until, work.at))
            until = max(until, end)
    return covered_s


def find_doubles(outcomes, runs):
    """Returns what ran twice, each as a text that begins with TWICE."""
    by_identity = _by_identity(runs)
    found = []
    for outcome in outcomes:
        identity, kind = outcome.plan.identity, outcome.plan.kind
        own = sorted(by_identity[identity], key=lambda run: run.begin)
        if kind in ("issue", "ask") and len(own) > 1:
            found.append(f"TWICE {identity} {kind}: {len(own)} runs")
        for before, after in itertools.pairwise(own):
            late_s = before.end - after.begin
            if kind == "draft" and late_s > DOUBLE_WORK_S:
                found.append(
                    f"TWICE {identity}: {after.runner} goes on while"
                    f" {before.runner} works for {late_s:.2f} s"
                )
    return found

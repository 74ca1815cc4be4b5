"""Scenarios for measurements: what load there is and what changes when.

A scenario is a JSON file. Those that ship lie in the folder `scenarios`.
"""

import pathlib
from typing import Annotated, NotRequired, TypedDict

import msgspec

from nutmegpost_core import documents

__all__ = ["Change", "Flow", "Scenario", "load", "names"]

Positive = Annotated[float, msgspec.Meta(gt=0)]
_FOLDER = pathlib.Path(__file__).with_name("scenarios")


class Flow(TypedDict):
    """A stream of requests of one class.

    Attributes:
        work_class: Name of the class.
        rank: Rank of the class.
        first_token_s: Target for the first token, seconds.
        finish_s: Target for the whole answer, seconds; none when left out.
        worth: Value of a request.
        load: Offered work as a multiple of the capacity of all slots.
        running: Mean requests in flight at an engine, in place of `load`.
        accounts: Accounts that the requests come from.
        large: Accounts that ask `large_factor` times as often.
        large_factor: How much more often.
        chats: Chats that return; each of the requests is a new one with 0.
        question_tokens: Mean tokens of a question.
        context_tokens: Mean tokens of a chat when it is first seen.
        answer_tokens: Mean tokens of an answer.
        start_s: When the flow starts, seconds.
        stop_s: When the flow stops, seconds.
    """

    work_class: str
    rank: Annotated[int, msgspec.Meta(ge=1, le=3)]
    first_token_s: Positive
    finish_s: NotRequired[Positive]
    worth: NotRequired[Positive]
    load: NotRequired[Positive]
    running: NotRequired[Positive]
    accounts: NotRequired[Annotated[int, msgspec.Meta(ge=1)]]
    large: NotRequired[Annotated[int, msgspec.Meta(ge=0)]]
    large_factor: NotRequired[Positive]
    chats: NotRequired[Annotated[int, msgspec.Meta(ge=0)]]
    question_tokens: NotRequired[Positive]
    context_tokens: NotRequired[Positive]
    answer_tokens: NotRequired[Positive]
    start_s: NotRequired[float]
    stop_s: NotRequired[float]


class Change(TypedDict):
    """A planned or unplanned change of an engine.

    Attributes:
        at_s: When it happens, seconds.
        engine: Number of the engine.
        joins: Whether it joins, with an empty cache, or leaves.
    """

    at_s: float
    engine: int
    joins: bool


class Scenario(TypedDict):
    """One scenario.

    Attributes:
        name: Name in the report.
        kind: Which figures it gives.
        engines: Engines of the pool.
        routers: Routers.
        slots: Requests that an engine batches.
        bound: Multiple of the mean load that no engine may exceed.
        seconds: Length, seconds of the scenario's own time.
        warm_s: Time at the start that is not counted, seconds.
        cache_tokens: Tokens that the cache of an engine holds.
        sums_lag_s: Lag of what owners know of each other, seconds.
        swing: Offered load swings between 1 - swing and 1 + swing.
        flows: The requests.
        changes: The changes of engines.
    """

    name: str
    kind: Annotated[str, msgspec.Meta(pattern="^(churn|flood|fairness)$")]
    engines: Annotated[int, msgspec.Meta(ge=1)]
    routers: Annotated[int, msgspec.Meta(ge=1)]
    slots: Annotated[int, msgspec.Meta(ge=1)]
    bound: Annotated[float, msgspec.Meta(ge=1)]
    seconds: Positive
    warm_s: float
    cache_tokens: NotRequired[Positive]
    sums_lag_s: NotRequired[float]
    swing: NotRequired[Annotated[float, msgspec.Meta(ge=0, lt=1)]]
    flows: list[Flow]
    changes: NotRequired[list[Change]]


def names() -> list[str]:
    """Returns the names of the scenarios that ship."""
    return sorted(path.stem for path in _FOLDER.glob("*.json"))


def load(name_or_file: str) -> Scenario:
    """Reads a scenario.

    Args:
        name_or_file: Name of one that ships, or a file ending in `.json`.

    Raises:
        OSError: There is no such file.
        errors.DocumentError: The file is not a scenario.
    """
    path = pathlib.Path(name_or_file)
    if path.suffix != ".json":
        path = _FOLDER / f"{name_or_file}.json"
    return documents.decode(path.read_bytes(), Scenario, str(path))

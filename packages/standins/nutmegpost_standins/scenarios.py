"""Scenarios for measurements: the offered load and the changes of engines.

A scenario is a JSON file. The built-in ones are in the folder `scenarios`.
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
        finish_s: Target for the whole answer, seconds; optional.
        worth: Value of a request.
        load: Offered work as a multiple of the capacity of all slots.
        running: Mean requests in flight at an engine, in place of `load`.
        accounts: Number of accounts that send the requests.
        large: Number of accounts that send `large_factor` times as much.
        large_factor: Request rate of a large account over that of another.
        chats: Number of recurring chats; with 0, each request is a new chat.
        question_tokens: Mean tokens of a question.
        context_tokens: Mean tokens of a chat before its first request.
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
    """An engine that joins or leaves, planned or not.

    Attributes:
        at_s: Time of the change, seconds.
        engine: Number of the engine.
        joins: Whether the engine joins, with an empty cache, or leaves.
    """

    at_s: float
    engine: int
    joins: bool


class Scenario(TypedDict):
    """A scenario.

    Attributes:
        name: Name in the report.
        kind: Selects the figures that are measured.
        engines: Number of engines in the pool.
        routers: Number of routers.
        slots: Requests that an engine runs in a batch.
        bound: Multiple of the mean load that no engine may exceed.
        seconds: Length in simulated time, seconds.
        warm_s: Warm-up time that the figures exclude, seconds.
        cache_tokens: Capacity of the cache of an engine, tokens.
        sums_lag_s: Delay of load sums between owners, seconds.
        swing: The offered load alternates between 1 - swing and 1 + swing.
        flows: Streams of requests.
        changes: Engines that join or leave.
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
    """Returns the names of the built-in scenarios."""
    return sorted(path.stem for path in _FOLDER.glob("*.json"))


def load(name_or_file: str) -> Scenario:
    """Reads a scenario.

    Args:
        name_or_file: Name of a built-in scenario, or a path ending in `.json`.

    Raises:
        OSError: The file cannot be read.
        errors.DocumentError: The file is not a valid scenario.
    """
    path = pathlib.Path(name_or_file)
    if path.suffix != ".json":
        path = _FOLDER / f"{name_or_file}.json"
    return documents.decode(path.read_bytes(), Scenario, str(path))

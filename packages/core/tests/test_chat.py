import json

import hypothesis
from hypothesis import strategies
import pytest

from nutmegpost_core import chat
from nutmegpost_core import errors

BODY = {
    "model": "language-model",
    "messages": [{"role": "user", "content": "hello there"}],
    "max_tokens": 8,
    "temperature": 0.5,
}


def test_engine_body_is_streamed_and_has_a_seed():
    body = json.dumps(BODY).encode()
    first = chat.parse(body, "r1")
    sent = json.loads(first.body)
    assert sent["stream"] is True
    assert sent["temperature"] == 0.5
    assert sent["seed"] == json.loads(chat.parse(body, "r1").body)["seed"]


def test_a_seed_of_the_caller_is_kept():
    body = json.dumps({**BODY, "seed": 7}).encode()
    assert json.loads(chat.parse(body, "r1").body)["seed"] == 7


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_bytes_raise_the_typed_error(data):
    with pytest.raises(errors.InvalidRequestError):
        chat.parse(data, "r1")


@pytest.mark.parametrize(
    "change",
    [
        {"messages": []},
        {"messages": [{"role": "user"}]},
        {"max_tokens": 0},
        {"model": 4},
        {"model": "m" * 65},
    ],
)
def test_error_names_the_invalid_field(change):
    with pytest.raises(errors.InvalidRequestError) as caught:
        chat.parse(json.dumps({**BODY, **change}).encode(), "r1")
    assert f"$.{next(iter(change))}" in str(caught.value)


def test_a_deeply_nested_request_was_not_run():
    deep = b'{"model": "m", "x": ' + b"[" * 200_000
    with pytest.raises(errors.InvalidRequestError) as caught:
        chat.parse(deep, "r1")
    assert caught.value.outcome == errors.Outcome.NOT_RUN


def test_content_is_independent_of_formatting_and_request_id():
    reordered = dict(reversed(BODY.items()))
    first = chat.parse(json.dumps(BODY).encode(), "r1")
    second = chat.parse(json.dumps(reordered, indent=2).encode(), "r2")
    assert first.content == second.content
    assert first.body != second.body


@pytest.mark.parametrize("name", ["", "a b", "x" * 65, "ä", "a/b"])
def test_invalid_names_are_rejected(name):
    with pytest.raises(errors.InvalidRequestError):
        chat.validate_name(name, "X-Request-Id", 64)


def test_chunks_are_assembled():
    chunks = [
        {"id": "r", "choices": [{"delta": {"content": "ab"}}]},
        {"choices": [{"delta": {"content": "c"}, "finish_reason": "stop"}]},
        {"choices": [], "usage": {"completion_tokens": 2}},
    ]
    answer = json.loads(
        chat.assemble([json.dumps(chunk).encode() for chunk in chunks])
    )
    assert answer["choices"][0]["message"]["content"] == "abc"
    assert answer["choices"][0]["finish_reason"] == "stop"
    assert answer["usage"]["completion_tokens"] == 2

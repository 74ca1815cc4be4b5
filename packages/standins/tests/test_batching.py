import json

import hypothesis
from hypothesis import strategies as st

from nutmegpost_standins import batching


def _job(name: str, priority: int = 2, prompt: int = 4, tokens: int = 3):
    return batching.Job(name, 1, priority, name, prompt, tokens, "d")


def test_answer_numbers_its_tokens_and_ends_with_usage():
    cache = batching.PrefixCache(100)
    batcher = batching.Batcher(2, 10, cache)
    job = _job("a/1")
    batcher.add(job)
    batcher.admit()
    while not job.is_done:
        batcher.step()
    chunks = [json.loads(event) for event in job.events]
    texts = [c["choices"][0]["delta"]["content"] for c in chunks[:-1]]
    assert texts == ["d-0 ", "d-1 ", "d-2 "]
    assert chunks[-1]["usage"] == {
        "prompt_tokens": 4,
        "cached_tokens": 0,
        "completion_tokens": 3,
    }
    assert cache.lookup("a/1") == 7


def test_queue_is_ordered_by_priority():
    batcher = batching.Batcher(1, 10, batching.PrefixCache(100))
    jobs = [_job("a/1", 3), _job("a/2", 1), _job("a/3", 2), _job("a/4", 1)]
    for job in jobs:
        batcher.add(job)
    assert [job.request_id for job in batcher.jobs] == [
        "a/2",
        "a/4",
        "a/3",
        "a/1",
    ]


def test_cached_prefix_is_not_prefilled_again():
    cache = batching.PrefixCache(100)
    cache.store("a/1", 90)
    batcher = batching.Batcher(1, 5, cache)
    job = _job("a/1", prompt=95, tokens=1)
    batcher.add(job)
    batcher.admit()
    batcher.step()
    assert job.is_done
    assert job.cached_tokens == 90


def test_removed_job_reports_whether_it_started():
    batcher = batching.Batcher(1, 5, batching.PrefixCache(100))
    first, second = _job("a/1"), _job("a/2")
    batcher.add(first)
    batcher.admit()
    batcher.add(second)
    batcher.remove(first, "cancelled")
    batcher.remove(second, "cancelled")
    assert first.has_started
    assert not second.has_started
    assert not batcher.jobs


@hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
@hypothesis.given(
    st.lists(st.tuples(st.integers(0, 9), st.integers(1, 60)), max_size=60)
)
def test_cache_stays_within_its_capacity(rows: list[tuple[int, int]]):
    cache = batching.PrefixCache(100)
    cached: dict[str, int] = {}
    for key, tokens in rows:
        for change in cache.store(f"k{key}", tokens):
            if change.kind == "stored":
                cached[change.cache_key] = change.tokens
            else:
                assert cached.pop(change.cache_key) == change.tokens
        assert cache.tokens == sum(cached.values()) <= 100

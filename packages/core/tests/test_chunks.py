import hypothesis
from hypothesis import strategies
import pytest

from nutmegpost_core import chunks


@hypothesis.given(strategies.lists(strategies.binary(min_size=1)))
def test_whole_chunks_are_split(contents):
    data = b"".join(
        b"%x\r\n%b\r\n" % (len(content), content) for content in contents
    )
    assert chunks.split_whole_chunks(data) == contents


@pytest.mark.parametrize(
    "data",
    [
        b"3\r\nabc",
        b"3\r\nabc\r",
        b"3\r\nabcd\r\n",
        b"3;x=1\r\nabc\r\n",
        b"3\nabc\n",
        b"0\r\n\r\n",
        b"3\r\nabc\r\n0\r\n\r\n",
        b"3\r\nabc\r\n4\r\nab",
        b"-3\r\nabc\r\n",
        b"+3\r\nabc\r\n",
        b"0x3\r\nabc\r\n",
        b" 3\r\nabc\r\n",
        b"1000000\r\nabc\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n",
    ],
)
def test_anything_else_is_not_split(data):
    assert chunks.split_whole_chunks(data) is None

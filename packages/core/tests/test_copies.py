from nutmegpost_core import copies

TOGETHER_S = 5.0
A = b"a" * 8
B = b"b" * 8


def test_copies_follow_the_first():
    found = copies.Copies(TOGETHER_S)
    found.placed(A, "e-1", 0.0)
    assert found.engine(A, 4.9) == "e-1"
    assert found.engine(B, 0.0) == ""


def test_a_copy_does_not_prolong_the_time():
    found = copies.Copies(TOGETHER_S)
    found.placed(A, "e-1", 0.0)
    found.placed(A, "e-1", 4.0)
    assert found.engine(A, 5.0) == ""


def test_a_copy_that_went_elsewhere_is_followed():
    found = copies.Copies(TOGETHER_S)
    found.placed(A, "e-1", 0.0)
    found.placed(A, "e-2", 1.0)
    assert found.engine(A, 5.5) == "e-2"


def test_the_oldest_are_forgotten():
    found = copies.Copies(TOGETHER_S)
    for number in range(20_001):
        found.placed(number.to_bytes(8, "big"), "e-1", 0.0)
    assert found.engine((0).to_bytes(8, "big"), 0.0) == ""
    assert found.engine((1).to_bytes(8, "big"), 0.0) == "e-1"


def test_a_single_request_is_not_followed():
    found = copies.Copies(TOGETHER_S)
    assert not found.is_followed(A, 0.0)
    found.placed(A, "e-1", 0.0)
    assert not found.is_followed(A, 0.0)
    found.placed(A, "e-1", 1.0)
    assert found.is_followed(A, 1.0)
    assert not found.is_followed(A, 5.0)


def test_copies_of_what_an_engine_answers_go_anywhere():
    found = copies.Copies(TOGETHER_S)
    found.placed(A, "e-1", 0.0)
    found.placed(A, "e-1", 1.0)
    found.proved(A, 2.0)
    found.placed(A, "e-2", 3.0)
    assert found.engine(A, 3.0) == ""
    assert not found.is_followed(A, 3.0)

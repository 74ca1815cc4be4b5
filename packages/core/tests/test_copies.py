from nutmegpost_core import copies

COLOCATION_S = 5.0
A = b"a" * 8
B = b"b" * 8


def test_copies_go_to_the_engine_of_the_first():
    placements = copies.CopyPlacements(COLOCATION_S)
    placements.record_placement(A, "e-1", 0.0)
    assert placements.engine(A, 4.9) == "e-1"
    assert placements.engine(B, 0.0) == ""


def test_a_copy_does_not_extend_the_colocation_time():
    placements = copies.CopyPlacements(COLOCATION_S)
    placements.record_placement(A, "e-1", 0.0)
    placements.record_placement(A, "e-1", 4.0)
    assert placements.engine(A, 5.0) == ""


def test_copies_follow_one_that_went_to_another_engine():
    placements = copies.CopyPlacements(COLOCATION_S)
    placements.record_placement(A, "e-1", 0.0)
    placements.record_placement(A, "e-2", 1.0)
    assert placements.engine(A, 5.5) == "e-2"


def test_the_oldest_are_evicted():
    placements = copies.CopyPlacements(COLOCATION_S)
    for number in range(20_001):
        placements.record_placement(number.to_bytes(8, "big"), "e-1", 0.0)
    assert placements.engine((0).to_bytes(8, "big"), 0.0) == ""
    assert placements.engine((1).to_bytes(8, "big"), 0.0) == "e-1"


def test_a_single_request_has_no_copies():
    placements = copies.CopyPlacements(COLOCATION_S)
    assert not placements.has_copies(A, 0.0)
    placements.record_placement(A, "e-1", 0.0)
    assert not placements.has_copies(A, 0.0)
    placements.record_placement(A, "e-1", 1.0)
    assert placements.has_copies(A, 1.0)
    assert not placements.has_copies(A, 5.0)


def test_copies_go_anywhere_once_an_engine_answers():
    placements = copies.CopyPlacements(COLOCATION_S)
    placements.record_placement(A, "e-1", 0.0)
    placements.record_placement(A, "e-1", 1.0)
    placements.record_answer_started(A, 2.0)
    placements.record_placement(A, "e-2", 3.0)
    assert placements.engine(A, 3.0) == ""
    assert not placements.has_copies(A, 3.0)

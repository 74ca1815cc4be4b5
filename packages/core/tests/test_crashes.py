from nutmegpost_core import crashes


def test_a_request_is_refused_after_it_crashed_two_endpoints():
    found = crashes.Crashes()
    assert found.charge("d", "e1", 0.0)
    assert not found.is_refused("d", 0.0)
    assert found.charge("d", "e2", 1.0)
    assert found.is_refused("d", 1.0)


def test_requests_that_share_two_crashes_are_refused_after_a_third():
    found = crashes.Crashes()
    for name in ("d", "beside"):
        found.charge(name, "e1", 0.0)
        found.charge(name, "e2", 1.0)
    assert not found.is_refused("d", 1.0)
    assert not found.is_refused("beside", 1.0)
    found.charge("d", "e3", 2.0)
    assert found.is_refused("d", 2.0)


def test_a_request_whose_company_ran_well_is_refused_after_two_crashes():
    found = crashes.Crashes()
    for name in ("d", "beside"):
        found.charge(name, "e1", 0.0)
        found.charge(name, "e2", 1.0)
    found.clear("beside")
    assert found.is_refused("d", 1.0)


def test_one_crash_is_charged_once():
    found = crashes.Crashes()
    assert found.charge("d", "e1", 0.0)
    assert not found.charge("d", "e1", 1.0)
    assert found.count("d", 1.0) == 1


def test_a_request_that_ran_well_is_cleared():
    found = crashes.Crashes()
    found.charge("d", "e1", 0.0)
    found.clear("d")
    found.charge("d", "e2", 1.0)
    assert not found.is_refused("d", 1.0)


def test_crashes_are_forgotten_in_the_end():
    found = crashes.Crashes()
    found.charge("d", "e1", 0.0)
    found.charge("d", "e2", 0.0)
    assert not found.is_refused("d", crashes.FORGET_S)


def test_the_number_of_digests_is_bounded():
    found = crashes.Crashes()
    for number in range(crashes.DIGESTS_MAX + 5):
        found.charge(str(number), "e1", 0.0)
    assert len(found.charged) == crashes.DIGESTS_MAX


def test_a_digest_depends_on_account_path_and_body():
    names = {
        crashes.digest("a", "/p", b"b"),
        crashes.digest("x", "/p", b"b"),
        crashes.digest("a", "/x", b"b"),
        crashes.digest("a", "/p", b"x"),
    }
    assert len(names) == 4

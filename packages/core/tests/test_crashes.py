from nutmegpost_core import crashes


def test_a_request_is_refused_after_it_crashed_two_endpoints():
    charges = crashes.CrashCharges()
    assert charges.charge("d", "e1", 0.0)
    assert not charges.is_refused("d", 0.0)
    assert charges.charge("d", "e2", 1.0)
    assert charges.is_refused("d", 1.0)


def test_requests_that_share_two_crashes_are_refused_after_a_third():
    charges = crashes.CrashCharges()
    for request_digest in ("d", "other"):
        charges.charge(request_digest, "e1", 0.0)
        charges.charge(request_digest, "e2", 1.0)
    assert not charges.is_refused("d", 1.0)
    assert not charges.is_refused("other", 1.0)
    charges.charge("d", "e3", 2.0)
    assert charges.is_refused("d", 2.0)


def test_a_request_is_refused_once_the_other_suspect_is_cleared():
    charges = crashes.CrashCharges()
    for request_digest in ("d", "other"):
        charges.charge(request_digest, "e1", 0.0)
        charges.charge(request_digest, "e2", 1.0)
    charges.clear("other")
    assert charges.is_refused("d", 1.0)


def test_one_crash_is_charged_once():
    charges = crashes.CrashCharges()
    assert charges.charge("d", "e1", 0.0)
    assert not charges.charge("d", "e1", 1.0)
    assert charges.count("d", 1.0) == 1


def test_an_answered_request_is_cleared():
    charges = crashes.CrashCharges()
    charges.charge("d", "e1", 0.0)
    charges.clear("d")
    charges.charge("d", "e2", 1.0)
    assert not charges.is_refused("d", 1.0)


def test_charges_expire():
    charges = crashes.CrashCharges()
    charges.charge("d", "e1", 0.0)
    charges.charge("d", "e2", 0.0)
    assert not charges.is_refused("d", crashes.CHARGE_LIFETIME_S)


def test_the_number_of_digests_is_bounded():
    charges = crashes.CrashCharges()
    for number in range(crashes.DIGESTS_MAX + 5):
        charges.charge(str(number), "e1", 0.0)
    assert len(charges.charged) == crashes.DIGESTS_MAX


def test_a_digest_depends_on_account_path_and_body():
    digests = {
        crashes.digest("a", "/p", b"b"),
        crashes.digest("x", "/p", b"b"),
        crashes.digest("a", "/x", b"b"),
        crashes.digest("a", "/p", b"x"),
    }
    assert len(digests) == 4


def test_a_wrongly_blamed_request_is_served_again_after_one_trial():
    charges = crashes.CrashCharges()
    charges.charge("d", "e1", 0.0)
    charges.charge("d", "e2", 0.0)
    at = crashes.TRIAL_INTERVAL_S
    assert not charges.is_trial_due("d", at - 1.0)
    assert charges.is_trial_due("d", at)
    charges.record_trial("d", at)
    assert not charges.is_trial_due("d", at + 1.0)
    charges.clear("d")
    assert not charges.is_refused("d", at + 1.0)


def test_at_most_three_trials_of_a_crashing_request_in_half_an_hour():
    charges = crashes.CrashCharges()
    for number in range(3):
        charges.charge("d", f"e{number}", float(number))
    trials = 0
    for second in range(3, 1800):
        at = float(second)
        if charges.is_refused("d", at) and charges.is_trial_due("d", at):
            charges.record_trial("d", at)
            charges.charge("d", f"trial-{second}", at)
            trials += 1
    assert trials == 3


def test_a_restart_under_the_same_name_is_another_crash():
    first = crashes.crash_digest("e1", 1)
    assert first != crashes.crash_digest("e1", 2)
    assert first == crashes.crash_digest("e1", 1)


def test_expired_charges_are_discarded():
    charges = crashes.CrashCharges()
    charges.charge("d", "e1", 0.0)
    charges.charge("other", "e1", 0.0)
    charges.clear("other")
    charges.expire(crashes.CHARGE_LIFETIME_S)
    assert not charges.charged
    assert not charges.charges(0.0)

from nutmegpost_core import trials


def test_the_interval_grows_with_each_trial():
    schedule = trials.TrialSchedule()
    tried = []
    blamed_at = 0.0
    for second in range(2_000):
        if schedule.is_due("s", blamed_at, 10.0, float(second)):
            schedule.record("s", float(second))
            blamed_at = float(second)
            tried.append(second)
    assert tried == [10, 50, 210, 850]


def test_a_cleared_subject_starts_anew():
    schedule = trials.TrialSchedule()
    schedule.record("s", 0.0)
    assert not schedule.is_due("s", 0.0, 10.0, 39.0)
    schedule.clear("s")
    assert schedule.is_due("s", 0.0, 10.0, 39.0)


def test_the_number_of_subjects_is_bounded():
    schedule = trials.TrialSchedule()
    for number in range(trials.SUBJECTS_MAX + 1):
        schedule.record(str(number), 5.0)
    assert schedule.last_at("0") < 0
    assert schedule.last_at("1") == 5.0

import random

import pytest

from nutmegpost_core import crash_reports
from nutmegpost_core import crashes
from nutmegpost_core import errors

CRASH = crashes.crash_digest("e1", 5)
Entry = crash_reports.Entry


def _subject(number):
    return f"{number:016x}"


def test_a_report_is_read_as_it_was_written():
    reports = crash_reports.CrashReports(b"sender")
    entries = [Entry(_subject(1), False, False), Entry(_subject(2), True, True)]
    for entry in entries:
        reports.add(CRASH, 4.0, entry)
    (report,) = reports.take_changed()
    assert report.at == 4.0
    assert crash_reports.read(report) == (CRASH, entries)
    assert not reports.take_changed()


def test_a_later_report_includes_the_earlier_entries():
    reports = crash_reports.CrashReports(b"sender")
    reports.add(CRASH, 0.0, Entry(_subject(1), True, False))
    (first,) = reports.take_changed()
    reports.add(CRASH, 0.0, Entry(_subject(1), True, True))
    reports.add(CRASH, 0.0, Entry(_subject(1), True, False))
    (second,) = reports.take_changed()
    assert second.key == first.key
    assert crash_reports.read(second)[1] == [Entry(_subject(1), True, True)]


def test_a_long_report_is_continued_in_another():
    reports = crash_reports.CrashReports(b"sender")
    count = crash_reports.ENTRIES_MAX + 3
    for number in range(count):
        reports.add(CRASH, 0.0, Entry(_subject(number), True, False))
    changed = reports.take_changed()
    read = [crash_reports.read(report)[1] for report in changed]
    assert sum(map(len, read)) == count
    assert len({report.key for report in changed}) == len(changed) == 2


@pytest.mark.parametrize("key", [b"", b"short"])
def test_a_malformed_report_is_refused(key):
    with pytest.raises(errors.PeerError):
        crash_reports.read(crash_reports.Report(key, b"", 0.0))


def test_a_report_with_half_an_entry_is_refused():
    reports = crash_reports.CrashReports(b"sender")
    reports.add(CRASH, 0.0, Entry(_subject(1), True, False))
    (report,) = reports.take_changed()
    with pytest.raises(errors.PeerError):
        crash_reports.read(report._replace(payload=report.payload[:-1]))


def test_the_order_in_which_reports_arrive_does_not_matter():
    charges = [
        crashes.Charge(_subject(subject), crash, 1.0, is_cleared)
        for subject in range(3)
        for crash in ("a", "b")
        for is_cleared in (False, True)
        if not (is_cleared and subject == 2)
    ]
    for seed in range(20):
        random.Random(seed).shuffle(charges)
        table = crashes.CrashCharges()
        table.merge(charges)
        assert set(table.charged) == {_subject(2)}


def test_the_number_of_crashes_with_a_report_is_bounded():
    reports = crash_reports.CrashReports(b"sender")
    for number in range(crash_reports.CRASHES_MAX + 1):
        crash = crashes.crash_digest("e", number)
        reports.add(crash, 0.0, Entry(_subject(1), True, False))
    assert len(reports.take_changed()) == crash_reports.CRASHES_MAX

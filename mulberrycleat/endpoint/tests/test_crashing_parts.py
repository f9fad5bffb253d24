"""Which parts of prompts are refused after crashes, and for how long."""

from __future__ import annotations

from mulberrycleat.core import Position
from mulberrycleat.endpoint.crashing_parts import (
    REFUSAL_TTL_S,
    TRIAL_INTERVAL_S,
    TRIAL_STEP_S,
    CrashingParts,
    content_id,
)
from mulberrycleat.endpoint.reports import AnswerReport, CrashReport, RefusalRenewal
from mulberrycleat.testing import fixture


class Log:
    """Log of reports that several hosts read."""

    def __init__(self, hosts: int) -> None:
        self.hosts = [CrashingParts(lambda part, rank=rank: rank) for rank in range(hosts)]
        self.end = 0

    def append(self, record, now=0.0) -> None:
        """Append a record, and have all hosts read it."""
        for host in self.hosts:
            host.apply(record, Position(0, self.end), now)
        self.end += 1

    def crash(self, endpoint, *parts, now=0.0, read_to=None) -> None:
        """Append a crash report of a request that was sent after all records had been read."""
        self.append(CrashReport(endpoint, parts, self.end if read_to is None else read_to), now)


@fixture
def log() -> Log:
    return Log(2)


def refuse(log: Log, part="p") -> None:
    for endpoint in ("e1", "e2", "e3"):
        log.crash(endpoint, part)


def test_a_part_is_refused_by_all_hosts_after_three_crashes_in_a_row(log):
    log.crash("e1", "p")
    log.crash("e2", "p")
    assert [host.refused for host in log.hosts] == [(), ()]
    log.crash("e3", "p")
    assert [host.refused for host in log.hosts] == [("p",), ("p",)]


def test_endpoints_that_crash_together_do_not_have_a_part_refused(log):
    for number in range(20):
        log.crash(f"e{number}", "p", read_to=0)
    assert log.hosts[0].refused == ()


def test_crashes_of_one_endpoint_do_not_have_a_part_refused(log):
    for _ in range(20):
        log.crash("e1", "p")
    assert log.hosts[0].refused == ()


def test_a_part_that_another_host_saw_answered_is_not_refused(log):
    here, other = log.hosts
    log.crash("e1", "p", "q")
    assert other.record_answer(("q",)) is None
    report = CrashReport("e2", ("p", "q"), log.end)
    log.append(report)
    log.append(other.answered_parts(report))
    log.crash("e3", "p", "q")
    assert here.refused == ("p",)


def test_an_answer_in_a_later_step_of_a_chain_is_reported_at_once(log):
    log.crash("e1", "q")
    log.crash("e2", "q")
    assert log.hosts[0].record_answer(("q",)) == AnswerReport(("q",))


def test_crashes_a_long_time_apart_do_not_form_a_chain(log):
    log.crash("e1", "p", now=0.0)
    log.crash("e2", "p", now=100.0)
    log.crash("e3", "p", now=200.0)
    assert log.hosts[0].refused == ()


def test_hosts_try_one_request_each_one_after_the_other(log):
    refuse(log)
    first, second = log.hosts
    assert first.refusal(("p",), TRIAL_INTERVAL_S - 1).retry_after_s == 1.0
    assert first.refusal(("p",), TRIAL_INTERVAL_S) is None
    assert first.refusal(("p",), TRIAL_INTERVAL_S) is not None
    assert second.refusal(("p",), TRIAL_INTERVAL_S) is not None
    assert second.refusal(("p",), TRIAL_INTERVAL_S + TRIAL_STEP_S) is None


def test_a_request_with_only_one_of_two_parts_that_crashed_together_is_tried_soon(log):
    for endpoint in ("e1", "e2", "e3"):
        log.crash(endpoint, "shared", "p")
    first, second = log.hosts
    assert first.refusal(("shared", "p"), 0.1) is not None
    assert first.refusal(("shared", "q"), 0.1) is None
    assert first.refusal(("shared", "q"), 0.2) is not None
    assert second.refusal(("shared", "q"), 0.2) is not None
    log.append(first.record_answer(("shared", "q")))
    assert second.refusal(("shared", "q"), 0.3) is None
    assert second.refused == ("p",)


def test_a_part_is_not_tried_soon_again_after_a_trial_that_crashed_an_endpoint(log):
    for endpoint in ("e1", "e2", "e3"):
        log.crash(endpoint, "shared", "p")
    log.crash("e4", "shared", "q", now=0.2)
    assert log.hosts[0].refusal(("shared", "q"), 15.0) is not None


def test_a_trial_that_crashes_an_endpoint_doubles_the_time_to_the_next(log):
    refuse(log)
    log.crash("e4", "p", now=TRIAL_INTERVAL_S)
    assert log.hosts[0].refusal(("p",), TRIAL_INTERVAL_S).retry_after_s == 2 * TRIAL_INTERVAL_S


def test_a_crash_of_a_request_sent_before_the_refusal_is_not_taken_for_a_trial(log):
    refuse(log)
    log.crash("e4", "p", now=10.0, read_to=1)
    assert log.hosts[0].refusal(("p",), 10.0).retry_after_s == TRIAL_INTERVAL_S - 10.0


def test_a_trial_that_is_answered_ends_the_refusal_at_all_hosts(log):
    refuse(log)
    first, second = log.hosts
    assert first.refusal(("p",), TRIAL_INTERVAL_S) is None
    log.append(first.record_answer(("p",)))
    assert second.refusal(("p",), TRIAL_INTERVAL_S) is None
    assert second.refused == ()


def test_a_host_without_the_first_reports_learns_a_refusal_from_its_renewal(log):
    refuse(log)
    log.hosts[0].refusal(("p",), 6.0)
    late = CrashingParts(lambda part: 2)
    for renewal in log.hosts[0].renewals(6.0):
        late.apply(renewal, Position(0, log.end), 6.0)
    assert late.refusal(("p",), 6.0) is not None


def test_the_next_host_renews_only_when_the_first_does_not(log):
    refuse(log)
    first, second = log.hosts
    assert first.renewals(5.0) == (RefusalRenewal("p", 0),)
    assert second.renewals(5.0) == ()
    assert second.renewals(5.5) == (RefusalRenewal("p", 0),)
    log.append(RefusalRenewal("p", 0), now=5.0)
    assert second.renewals(6.0) == ()


def test_a_refusal_ends_after_requests_with_the_part_have_ceased(log):
    refuse(log)
    for now in range(int(3 * REFUSAL_TTL_S)):
        for host in log.hosts:
            for renewal in host.renewals(float(now)):
                log.append(renewal, float(now))
    assert [host.refused for host in log.hosts] == [(), ()]


CONTENTS = tuple(content_id((name,)) for name in (b"crashing", b"sound", b"other"))


def retry_everywhere(log: Log, part: str, endpoints=("e1", "e2", "e3")) -> None:
    """Report crashes of one request that its host retries before it has read any report."""
    for before, endpoint in zip(("", *endpoints), endpoints, strict=False):
        log.append(CrashReport(endpoint, (part,), 0, retry_after=before))


def test_retries_by_the_host_that_saw_the_crashes_have_a_content_refused(log):
    retry_everywhere(log, CONTENTS[0])
    assert [host.refused for host in log.hosts] == [(CONTENTS[0],)] * 2


def test_retries_by_the_host_that_saw_the_crashes_do_not_have_a_part_refused(log):
    retry_everywhere(log, "p")
    assert [host.refused for host in log.hosts] == [(), ()]


def test_a_content_that_shares_some_crashes_with_another_is_tried_at_once(log):
    crashing, sound, other = CONTENTS
    retry_everywhere(log, crashing)
    retry_everywhere(log, sound, ("e2", "e3", "e4"))
    retry_everywhere(log, other, ("e5", "e6", "e7"))
    host = log.hosts[0]
    assert host.refusal((sound,), 0.1) is None
    assert host.refusal((other,), 0.1) is not None
    log.append(AnswerReport((sound,)), 0.2)
    assert set(host.refused) == {crashing, other}

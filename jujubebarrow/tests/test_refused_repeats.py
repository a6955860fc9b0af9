"""Submissions whose refusal would speak for an earlier attempt as well."""

import asyncio
import unittest

from jujubebarrow.errors.exceptions import InvalidCallError, RefusalError, StoreError
from jujubebarrow.errors.run_states import RunState
from jujubebarrow.tests.fakes.caller_interfaces import (
    JOB,
    ROUTE,
    TEAM,
    CallerInterface,
    make_conflict,
)
from jujubebarrow.workloads.job_phases import JobPhase
from jujubebarrow.workloads.job_submissions import JobSubmission
from jujubebarrow.workloads.step_specs import StepSpec

REJECTED = StoreError("status 503", False)
UNANSWERED = StoreError("reset", True)
NO_ANSWER = 504
NO_QUEUE = 404


class RefusedRepeatTest(unittest.TestCase):
    def test_repeat_of_a_job_that_may_be_stored_is_not_told_that_it_never_runs(
        self,
    ) -> None:
        # The attempt before may have reached any instance.
        interface = CallerInterface(REJECTED)
        response = interface.submit()
        self.assertEqual(response.status, NO_ANSWER)
        self.assertIn("Retry-After", response.headers)
        refused = [line for line in interface.log.lines if "run" in line]
        self.assertEqual({line["run"] for line in refused}, {"unknown"})

    def test_stale_instance_does_not_tell_that_a_repeated_job_never_runs(self) -> None:
        interface = CallerInterface(None)
        interface.fleet_source.is_fresh = False
        response = interface.submit()
        self.assertEqual(response.status, NO_ANSWER)
        self.assertEqual(interface.store.commit_count, 0)

    def test_stale_instance_does_not_tell_that_a_repeated_job_has_no_queue(
        self,
    ) -> None:
        interface = CallerInterface(None)
        path = f"/added/{JOB}"
        interface.fleet_source.is_fresh = False
        response = interface.submit(path=path)
        self.assertEqual(response.status, NO_ANSWER)
        self.assertIn("Retry-After", response.headers)
        interface.fleet_source.is_fresh = True
        self.assertEqual(interface.submit(path=path).status, NO_QUEUE)

    def test_repeat_after_an_unanswered_attempt_is_accepted_once_it_is_found(
        self,
    ) -> None:
        interface = CallerInterface(UNANSWERED, make_conflict())
        self.assertEqual(interface.submit().status, 200)

    def test_submission_without_time_for_a_second_attempt_is_unknown_until_it_is_found(
        self,
    ) -> None:
        interface = CallerInterface(UNANSWERED, make_conflict())
        self.assertEqual(interface.submit({"X-Deadline-Ms": "160"}).status, NO_ANSWER)
        self.assertEqual(interface.submit().status, 200)

    def test_submission_outlasts_a_short_refusal_of_the_store(self) -> None:
        interface = CallerInterface(REJECTED, None)
        self.assertEqual(interface.submit().status, 200)
        self.assertEqual(interface.store.commit_count, 2)

    def test_failing_store_gets_one_call_for_each_repeat_of_a_submission(self) -> None:
        interface = CallerInterface(REJECTED)
        interface.submit()
        store = interface.store
        self.assertGreater(store.single_count, 1)
        self.assertEqual(store.single_count, store.commit_count - 1)

    def test_deadline_that_ends_the_repeats_leaves_the_attempts_in_the_log(
        self,
    ) -> None:
        interface = CallerInterface(REJECTED)
        interface.submit({"X-Deadline-Ms": "160"})
        attempts = interface.log.lines[0]["attempts"]
        self.assertEqual(attempts, ["status 503", "no time left"])

    def test_content_refused_after_an_unanswered_attempt_is_not_final(self) -> None:
        interface = CallerInterface(UNANSWERED, InvalidCallError("status 403"))
        self.assertEqual(interface.submit().status, NO_ANSWER)

    def test_deadline_ends_the_repeats_of_a_submission(self) -> None:
        interface = CallerInterface(REJECTED)
        self.assertEqual(interface.submit({"X-Deadline-Ms": "160"}).status, NO_ANSWER)
        self.assertEqual(interface.store.commit_count, 1)

    def test_repeat_of_a_job_that_the_instance_runs_needs_no_store(self) -> None:
        interface = CallerInterface(REJECTED)
        interface.owned_phase = JobPhase.RUNNING
        self.assertEqual(interface.submit().status, 200)
        self.assertEqual(interface.store.commit_count, 0)

    def test_first_attempt_of_a_caller_is_refused_as_not_run(self) -> None:
        self.assertIs(refuse_first_attempt(REJECTED).run, RunState.NOT_RUN)

    def test_rejections_after_an_unanswered_transaction_leave_the_job_unknown(
        self,
    ) -> None:
        error = refuse_first_attempt(UNANSWERED, REJECTED)
        self.assertIs(error.run, RunState.UNKNOWN)


def refuse_first_attempt(*results: Exception | None) -> RefusalError:
    intake = CallerInterface(*results).intake
    submission = JobSubmission(payload="", steps=(StepSpec(),))
    try:
        asyncio.run(
            intake.submit(ROUTE, TEAM, JOB, submission, 3.0, may_be_repeated=False)
        )
    except RefusalError as error:
        return error
    raise AssertionError("accepted")

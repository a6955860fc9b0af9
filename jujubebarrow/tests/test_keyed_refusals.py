"""Refusals of keyed requests and jobs that would speak for an earlier attempt as well.

Guards against "not-run" for a repeat whose earlier attempt, through any instance, may
have run or may be stored.
"""

import unittest
from datetime import UTC, datetime, timedelta
from unittest.mock import patch

from tornado.httpclient import HTTPResponse
from tornado.testing import AsyncHTTPTestCase
from tornado.web import Application

from jujubebarrow.configurations.key_states import KeyState
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.errors.run_states import RunState
from jujubebarrow.homes.home_services import CLAIMED_KINDS, HomeService
from jujubebarrow.tests.fakes.cluster_runs import ClusterRun, Fault
from jujubebarrow.tests.fakes.core_interfaces import (
    BODY_LIMIT_BYTES,
    ONCE,
    REPEATABLE,
    CoreInterface,
)

REQUESTS = f"/v1/queues/{ONCE}/requests"
JOBS = f"/v1/queues/{ONCE}/jobs"
KEYED = {"Authorization": "Bearer x", "Idempotency-Key": "k"}
UNKEYED = {"Authorization": "Bearer x"}
UNCLAIMED_KINDS = (
    ErrorKind.STORE_UNAVAILABLE,
    ErrorKind.QUEUE_FULL,
    ErrorKind.DEADLINE_UNREACHABLE,
    ErrorKind.NO_UPSTREAM,
    ErrorKind.TEAM_LIMIT,
    ErrorKind.SHUTTING_DOWN,
)
WORKER_COUNT = 12
"""As many as the simulated cluster has, or more; a fault takes them in turn."""
CLUSTER_RUNS = (
    ([Fault(1.0, "worker_down", number, 12.0) for number in range(WORKER_COUNT)], 1.0),
    ([Fault(3.0, "withdraw_key", 0, 1.0)], 6.0),
    (
        [
            Fault(3.0, "platform_down", 0, 25.0),
            Fault(4.0, "freeze", 0, 25.0),
            *(Fault(12.0, "worker_freeze", n, 10.0) for n in range(WORKER_COUNT)),
        ],
        3.0,
    ),
)
"""Faults and run times with which homes refuse before and after each claim."""


class KeyedRefusalTest(AsyncHTTPTestCase):
    def get_app(self) -> Application:
        self.interface = CoreInterface()
        return self.interface.make_application()

    def post(
        self, path: str, headers: dict[str, str], body: str = "{}"
    ) -> HTTPResponse:
        return self.fetch(path, method="POST", headers=headers, body=body)

    def expect(
        self, response: HTTPResponse, kind: ErrorKind, run: str, status: int
    ) -> None:
        self.assertIn(f'"kind":"{kind.value}"', response.body.decode())
        self.assertIn(f'"run":"{run}"', response.body.decode())
        self.assertEqual(response.headers["Run-State"], run)
        self.assertEqual(response.code, status)

    def test_repeat_at_a_closed_instance_is_not_told_that_it_never_ran(self) -> None:
        for name, value, kind in (
            ("is_fresh", False, ErrorKind.CONFIGURATION_STALE),
            ("is_ready", False, ErrorKind.NOT_READY),
            ("is_stopping", True, ErrorKind.SHUTTING_DOWN),
        ):
            setattr(self.interface, name, value)
            for path in (REQUESTS, JOBS):
                with self.subTest(kind=kind, path=path):
                    response = self.post(path, KEYED)
                    self.expect(response, kind, "unknown", 503)
                    self.assertIn("Retry-After", response.headers)
                    self.expect(self.post(path, UNKEYED), kind, "not-run", 503)

    def test_repeat_with_a_withdrawn_key_is_not_told_that_it_never_ran(self) -> None:
        self.interface.key_state = KeyState.WITHDRAWN
        for path in (REQUESTS, JOBS):
            kind = ErrorKind.KEY_WITHDRAWN
            self.expect(self.post(path, KEYED), kind, "unknown", 401)
            self.expect(self.post(path, UNKEYED), kind, "not-run", 401)

    def test_repeat_after_its_deadline_is_not_told_that_it_never_ran(self) -> None:
        past = {"Deadline": (datetime.now(UTC) - timedelta(seconds=5)).isoformat()}
        for path in (REQUESTS, JOBS):
            kind = ErrorKind.BAD_DEADLINE
            self.expect(self.post(path, KEYED | past), kind, "unknown", 400)
            self.expect(self.post(path, UNKEYED | past), kind, "not-run", 400)

    def test_repeat_refused_before_its_claim_is_read_may_have_run(self) -> None:
        for kind in UNCLAIMED_KINDS:
            with self.subTest(kind=kind):
                self.interface.refusals = [kind]
                response = self.post(REQUESTS, KEYED)
                self.expect(response, kind, "unknown", response.code)
                self.assertIn(response.code, (429, 503))
                self.assertIn("Retry-After", response.headers)

    def test_request_that_held_its_claim_is_told_that_it_did_not_run(self) -> None:
        self.interface.refusals = [ErrorKind.UPSTREAM_REFUSED, ErrorKind.QUEUE_FULL]
        response = self.post(REQUESTS, KEYED)
        self.expect(response, ErrorKind.UPSTREAM_REFUSED, "not-run", 503)
        self.interface.refusals.reverse()
        response = self.post(REQUESTS, KEYED)
        self.expect(response, ErrorKind.QUEUE_FULL, "not-run", 503)

    def test_repeat_of_a_request_that_is_never_claimed_may_have_run(self) -> None:
        path = f"/v1/queues/{REPEATABLE}/requests"
        for kind in (ErrorKind.UPSTREAM_REFUSED, ErrorKind.QUEUE_FULL):
            self.interface.refusals = [kind]
            self.expect(self.post(path, KEYED), kind, "unknown", 503)
            self.expect(self.post(path, UNKEYED), kind, "not-run", 503)

    def test_content_that_can_never_run_is_refused_as_not_run(self) -> None:
        large = "x" * (BODY_LIMIT_BYTES + 1)
        json = {"Content-Type": "application/json"}
        kind = ErrorKind.BODY_TOO_LARGE
        self.expect(self.post(REQUESTS, KEYED, large), kind, "not-run", 413)
        response = self.post(REQUESTS, KEYED | json, "{")
        self.expect(response, ErrorKind.BAD_JSON, "not-run", 400)
        response = self.post(JOBS, KEYED, '{"steps": []}')
        self.expect(response, ErrorKind.BAD_REQUEST, "not-run", 400)
        response = self.post(REQUESTS, {"Idempotency-Key": "k"})
        self.expect(response, ErrorKind.UNAUTHENTICATED, "not-run", 401)
        for kind in (ErrorKind.NEVER_RUNS, ErrorKind.IDEMPOTENCY_KEY_REUSED):
            self.interface.refusals = [kind]
            self.expect(self.post(REQUESTS, KEYED), kind, "not-run", 422)


class ClaimedKindTest(unittest.TestCase):
    def test_kinds_tell_whether_a_home_held_the_claim(self) -> None:
        # A refusal that a peer forwards tells its kind alone.
        claimed: set[ErrorKind] = set()
        unclaimed: set[ErrorKind] = set()
        run, run_claimed = HomeService._run, HomeService._run_claimed
        marked: list[RefusalError] = []

        async def mark(home, *arguments):
            try:
                return await run_claimed(home, *arguments)
            except RefusalError as error:
                marked.append(error)
                raise

        async def record(home, request, remaining):
            try:
                return await run(home, request, remaining)
            except RefusalError as error:
                if request.queue == ONCE and error.run is RunState.NOT_RUN:
                    is_marked = any(error is other for other in marked)
                    (claimed if is_marked else unclaimed).add(error.kind)
                raise

        with (
            patch.object(HomeService, "_run_claimed", mark),
            patch.object(HomeService, "_run", record),
        ):
            for faults, run_time in CLUSTER_RUNS:
                ClusterRun(1, faults, run_time).run()
        self.assertEqual(claimed, CLAIMED_KINDS)
        self.assertEqual(
            unclaimed,
            {
                ErrorKind.STORE_UNAVAILABLE,
                ErrorKind.NO_UPSTREAM,
                ErrorKind.DEADLINE_UNREACHABLE,
            },
        )

"""Ids of callers' requests in the log of the platform's interface."""

import unittest

from jujubebarrow.errors.exceptions import StoreError
from jujubebarrow.platform.callers import REQUEST_ID_LENGTH_LIMIT
from jujubebarrow.tests.fakes.caller_interfaces import (
    JOB,
    REQUEST,
    CallerInterface,
    make_conflict,
)


class RequestIdTest(unittest.TestCase):
    def find_events(self, interface: CallerInterface, request: str) -> list[str]:
        return [
            line["event"]
            for line in interface.log.lines
            if line.get("request") == request
        ]

    def test_accepted_job_is_found_by_the_id_of_its_request(self) -> None:
        interface = CallerInterface(None)
        interface.submit()
        self.assertEqual(self.find_events(interface, REQUEST), ["job_accepted"])
        self.assertEqual(interface.log.lines[0]["job"], JOB)

    def test_repeated_job_is_found_by_the_id_of_the_repeated_request(self) -> None:
        interface = CallerInterface(make_conflict())
        interface.submit()
        self.assertEqual(self.find_events(interface, REQUEST), ["job_repeated"])

    def test_refused_submission_is_found_by_the_id_of_its_request(self) -> None:
        interface = CallerInterface(StoreError("status 503", False))
        interface.submit()
        events = self.find_events(interface, REQUEST)
        self.assertEqual(events, ["job_refused", "call_refused"])

    def test_call_refused_before_the_store_is_found_by_its_id(self) -> None:
        interface = CallerInterface(None)
        interface.submit(path="/unknown/")
        self.assertEqual(self.find_events(interface, REQUEST), ["call_refused"])

    def test_long_id_of_a_request_is_cut_in_the_log(self) -> None:
        interface = CallerInterface(None)
        interface.submit({"Request-Id": "r" * 10_000})
        cut = "r" * REQUEST_ID_LENGTH_LIMIT
        self.assertEqual(self.find_events(interface, cut), ["job_accepted"])

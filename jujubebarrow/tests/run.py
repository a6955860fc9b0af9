"""Runs all tests and passes over those listed in KNOWN-RED.txt.

Proofs in virtual time run first, beside each other. The other tests follow one by one,
since a busy machine could break those with real processes.
"""

import argparse
import os
import sys
import time
import unittest
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path

from hypothesis import HealthCheck, core, settings

TEST_FOLDER = Path(__file__).parent
KNOWN_RED_PATH = TEST_FOLDER.parent.parent / "KNOWN-RED.txt"
CI_EXAMPLE_COUNT = 40
STATEFUL_STEP_COUNT = 60
REAL_TIME_PROOFS = ("proof_refused_jobs",)
PROCESS_COUNT = max(1, (os.cpu_count() or 1) // 2)


@dataclass(frozen=True)
class TestReport:
    """Result of one test.

    Attributes:
        name: Full name of the test.
        has_passed: Whether the test passed.
        problem_text: Tracebacks of its failures.
        seconds: Duration.
    """

    name: str
    has_passed: bool
    problem_text: str
    seconds: float


def set_up_hypothesis(seed: int | None, examples: int) -> None:
    settings.register_profile(
        "project",
        max_examples=examples,
        stateful_step_count=STATEFUL_STEP_COUNT,
        deadline=None,
        database=None,
        derandomize=seed is None,
        suppress_health_check=list(HealthCheck),
    )
    settings.load_profile("project")
    if seed is not None:
        core.global_force_seed = seed


def read_known_red() -> set[str]:
    if not KNOWN_RED_PATH.exists():
        return set()
    lines = KNOWN_RED_PATH.read_text().splitlines()
    return {line.split(":", 1)[1].strip() for line in lines if line.startswith("test:")}


def iterate_tests(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from iterate_tests(item)
        else:
            yield item


def run_one(test: unittest.TestCase) -> TestReport:
    start = time.monotonic()
    result = unittest.TestResult()
    test.run(result)
    problems = [text for _, text in result.errors + result.failures]
    if result.unexpectedSuccesses:
        problems.append("unexpected success")
    seconds = time.monotonic() - start
    return TestReport(test.id(), not problems, "\n".join(problems), seconds)


def run_by_name(name: str) -> TestReport:
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    [test] = iterate_tests(suite)
    return run_one(test)


def is_in_virtual_time(test: unittest.TestCase) -> bool:
    module = test.id().split(".")[2]
    return module.startswith("proof_") and module not in REAL_TIME_PROOFS


def run_all(
    tests: list[unittest.TestCase], seed: int | None, examples: int
) -> Iterable[TestReport]:
    virtual = [test.id() for test in tests if is_in_virtual_time(test)]
    with ProcessPoolExecutor(
        PROCESS_COUNT, get_context("spawn"), set_up_hypothesis, (seed, examples)
    ) as pool:
        yield from pool.map(run_by_name, virtual)
    for test in tests:
        if not is_in_virtual_time(test):
            yield run_one(test)


def collect_tests(patterns: list[str], only: str) -> list[unittest.TestCase]:
    loader = unittest.TestLoader()
    tests: dict[str, unittest.TestCase] = {}
    for pattern in patterns:
        found = loader.discover(
            str(TEST_FOLDER), pattern, str(TEST_FOLDER.parent.parent)
        )
        tests.update({test.id(): test for test in iterate_tests(found)})
    if loader.errors:
        print("\n".join(loader.errors))
        sys.exit(1)
    return [test for name, test in sorted(tests.items()) if only in name]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--proofs", action="store_true", help="only the proofs")
    parser.add_argument("--seed", type=int, help="seed of the randomised runs")
    parser.add_argument("--examples", type=int, default=CI_EXAMPLE_COUNT)
    parser.add_argument("--only", default="", help="part of the tests' names")
    options = parser.parse_args()
    set_up_hypothesis(options.seed, options.examples)
    patterns = ["proof_*.py"] if options.proofs else ["test_*.py", "proof_*.py"]
    known_red = read_known_red()
    passed = failed = 0
    tests = collect_tests(patterns, options.only)
    for report in run_all(tests, options.seed, options.examples):
        has_passed, is_known_red = report.has_passed, report.name in known_red
        verdict = "ok" if has_passed else "known red" if is_known_red else "FAILED"
        print(f"{verdict} {report.name} ({report.seconds:.1f} s)", flush=True)
        if not has_passed:
            print(report.problem_text, flush=True)
        passed += has_passed
        failed += not has_passed and not is_known_red
    print(f"{passed} passed, {failed} failed")
    sys.exit(failed > 0 or passed == 0)


if __name__ == "__main__":
    main()

"""Runs all tests and passes over those listed in KNOWN-RED.txt."""

import argparse
import sys
import time
import unittest
from collections.abc import Iterator
from pathlib import Path

from hypothesis import HealthCheck, core, settings

TEST_FOLDER = Path(__file__).parent
KNOWN_RED_PATH = TEST_FOLDER.parent.parent / "KNOWN-RED.txt"
CI_EXAMPLE_COUNT = 40
STATEFUL_STEP_COUNT = 60


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


def run_one(test: unittest.TestCase) -> tuple[bool, str]:
    result = unittest.TestResult()
    test.run(result)
    problems = result.errors + result.failures
    if result.unexpectedSuccesses:
        return False, "unexpected success"
    return not problems, "\n".join(problem_text for _, problem_text in problems)


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
    for test in collect_tests(patterns, options.only):
        start = time.monotonic()
        has_passed, problem_text = run_one(test)
        seconds = time.monotonic() - start
        is_known_red = test.id() in known_red
        verdict = "ok" if has_passed else "known red" if is_known_red else "FAILED"
        print(f"{verdict} {test.id()} ({seconds:.1f} s)", flush=True)
        if not has_passed:
            print(problem_text, flush=True)
        passed += has_passed
        failed += not has_passed and not is_known_red
    print(f"{passed} passed, {failed} failed")
    sys.exit(failed > 0 or passed == 0)


if __name__ == "__main__":
    main()

"""Rules of the code base: imports of packages, tables of errors and documentation.

Guards against decision code that does input or output or reads the time, against an
error kind without a response, and against documentation that lacks a setting, an error
kind or the target of a link.
"""

import ast
import re
import unittest
from pathlib import Path

from jujubebarrow.errors.error_responses import ERROR_RESPONSES
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.errors.run_states import RunState
from jujubebarrow.settings.loaders import find_setting_unit
from jujubebarrow.settings.settings import Settings

ROOT = Path(__file__).parent.parent
DECISION_PACKAGES = (
    "claims",
    "configurations",
    "coordinators",
    "fleets",
    "limits",
    "maintenance",
    "members",
    "ownerships",
    "placements",
    "pools",
    "queues",
    "retries",
    "routes",
    "shares",
    "workloads",
)
FORBIDDEN_MODULES = ("asyncio", "tornado", "websockets", "pycurl", "socket", "time")


def find_imported_modules(path: Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
    return names


class StructureTest(unittest.TestCase):
    def test_decisions_do_no_input_or_output(self) -> None:
        for package in DECISION_PACKAGES:
            for path in (ROOT / package).glob("*.py"):
                roots = {name.split(".")[0] for name in find_imported_modules(path)}
                self.assertEqual(roots & set(FORBIDDEN_MODULES), set(), path)

    def test_every_error_kind_has_a_response(self) -> None:
        self.assertEqual(set(ERROR_RESPONSES), set(ErrorKind))
        for kind, response in ERROR_RESPONSES.items():
            self.assertIn(response.status, range(400, 600), kind)
            if response.run is RunState.NOT_RUN and response.status >= 500:
                self.assertTrue(response.is_retryable, kind)

    def test_settings_page_has_every_setting_with_its_default(self) -> None:
        page = (ROOT.parent / "docs" / "SETTINGS.md").read_text()
        rows = dict(re.findall(r"^\| `(\w+)` \| (.*)$", page, re.MULTILINE))
        self.assertEqual(set(rows), set(Settings.model_fields))
        for name, field in Settings.model_fields.items():
            default = "required" if field.is_required() else f"`{field.default}`"
            expected = f"{default} | {find_setting_unit(name)} | {field.description}"
            self.assertTrue(rows[name].startswith(expected), (name, expected))

    def test_callers_page_has_every_error_kind(self) -> None:
        page = (ROOT.parent / "docs" / "CALLERS.md").read_text()
        for kind, response in ERROR_RESPONSES.items():
            row = f"| `{kind.value}` | {response.status} | {response.run.value} |"
            self.assertIn(row, page)

    def test_platform_wire_names_occur_only_in_the_platform_package(self) -> None:
        wire_names = re.compile(
            r"FencingToken|LastSeen|ExpectedRev|rows-(tx|get|feed|parts)|run-(start|stop)"
            r"|machine-(move|upkeep)|MayMiss|X-Target-Instance|HoldMaxMs|RevokeMs"
        )
        for path in ROOT.rglob("*.py"):
            package = path.relative_to(ROOT).parts[0]
            if package not in ("platform", "tests"):
                self.assertIsNone(wire_names.search(path.read_text()), path)

    def test_platform_page_has_every_setting(self) -> None:
        source = (ROOT / "platform" / "settings_files.py").read_text()
        page = (ROOT.parent / "docs" / "PLATFORM.md").read_text()
        names = re.findall(
            r'self\._(?:text|number|milliseconds|port)\(\s*"([\w.]+)"', source
        )
        self.assertGreater(len(names), 10)
        for name in names:
            self.assertIn(f"`{name}`", page)

    def test_platform_requirements_are_a_subset_of_all_requirements(self) -> None:
        root = ROOT.parent
        all_requirements = (root / "requirements.txt").read_text().splitlines()
        for line in (root / "requirements-platform.txt").read_text().splitlines():
            self.assertIn(line, all_requirements)

    def test_internal_links_of_the_docs_have_targets(self) -> None:
        for path in [ROOT.parent / "README.md", *(ROOT.parent / "docs").glob("*.md")]:
            for target in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", path.read_text()):
                self.assertTrue((path.parent / target).exists(), (path.name, target))

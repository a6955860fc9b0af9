"""Tests of the emulated store behind the platform's interface."""

import asyncio
import unittest

from msgspec import json

from jujubebarrow.tests.fakes.platform_tables import ROWS_LIMIT, PlatformTable


class PlatformTableTest(unittest.TestCase):
    def test_page_tells_that_rows_are_left(self) -> None:
        table = PlatformTable()
        for number in range(ROWS_LIMIT + 1):
            table.write("servers", f"{number:04d}", {})

        async def read(query: str) -> tuple[int, bool]:
            status, body = await table.respond(f"/-/rows-get?Table=servers{query}", b"")
            self.assertEqual(status, 200)
            document = json.decode(body)
            return len(document["rows"]), document["HasMore"]

        for query, expected in (
            ("", (ROWS_LIMIT, True)),
            ("&From=0001", (ROWS_LIMIT, False)),
            ("&Limit=2", (2, True)),
            ("&From=0499&Limit=2", (2, False)),
        ):
            with self.subTest(query=query):
                self.assertEqual(asyncio.run(read(query)), expected)


if __name__ == "__main__":
    unittest.main()

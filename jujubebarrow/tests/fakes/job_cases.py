"""Base of stories of the job core in virtual time."""

import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from jujubebarrow.tests.fakes.job_worlds import JobWorld
from jujubebarrow.tests.fakes.virtual_loops import run_virtual


class JobCase(unittest.TestCase):
    """Plays a story and judges it by what the workers have seen."""

    def play(
        self, story: Callable[[JobWorld], Coroutine[Any, Any, None]], **options: Any
    ) -> JobWorld:
        async def main() -> JobWorld:
            world = JobWorld(**options)
            try:
                await world.start()
                await story(world)
            finally:
                for instance in world.instances:
                    await instance.kill()
            self.assertEqual(world.find_faults(), [])
            failed = [
                line
                for log in world.logs
                for line in log.lines
                if line["event"] == "task_failed"
            ]
            self.assertEqual(failed, [])
            return world

        return run_virtual(main())

"""Base class of scenario tests of the job core in virtual time."""

import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from jujubebarrow.tests.fakes.job_clusters import JobCluster
from jujubebarrow.tests.fakes.virtual_loops import run_virtual


class JobCase(unittest.TestCase):
    """Runs a scenario, then checks the workers' records and the logged failures."""

    def run_scenario(
        self,
        scenario: Callable[[JobCluster], Coroutine[Any, Any, None]],
        **options: Any,
    ) -> JobCluster:
        async def main() -> JobCluster:
            cluster = JobCluster(**options)
            try:
                await cluster.start()
                await scenario(cluster)
            finally:
                for instance in cluster.instances:
                    await instance.kill()
            self.assertEqual(cluster.find_violations(), [])
            failed_tasks = [
                line
                for log in cluster.logs
                for line in log.lines
                if line["event"] == "task_failed"
            ]
            self.assertEqual(failed_tasks, [])
            return cluster

        return run_virtual(main())

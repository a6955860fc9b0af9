"""Errors that end the changes of a pool's grants.

The test guards against an owner that keeps its pool and can never change a grant again.
"""

import unittest
from asyncio import sleep
from typing import Any
from unittest.mock import patch

from jujubebarrow.limits.grant_planners import GrantPlan, plan_grant
from jujubebarrow.tests.fakes.job_clusters import JobCluster
from jujubebarrow.tests.fakes.virtual_loops import run_virtual
from jujubebarrow.workloads.resources import Resources

LIMIT = Resources(4000, 8000)
PLANNER = "jujubebarrow.runtimes.grant_controllers.plan_grant"
FINISH_SECONDS = 20.0
"""Seconds that suffice to move the pool to another owner and run a job of 1 s."""


class OneError:
    """Raises an error that is no error of the store in the first call with requests."""

    def __init__(self) -> None:
        self.is_raised = False

    def __call__(self, *arguments: Any) -> GrantPlan:
        requests = arguments[3]
        if requests and not self.is_raised:
            self.is_raised = True
            raise ValueError("no error of the store")
        return plan_grant(*arguments)


class GrantErrorTest(unittest.TestCase):
    def test_unexpected_error_does_not_end_the_changes_of_grants(self) -> None:
        self.assertTrue(run_virtual(self._run()))

    async def _run(self) -> bool:
        cluster, error = JobCluster(), OneError()
        await cluster.start()
        cluster.write_fleet(2, LIMIT)
        await sleep(4.0)
        with patch(PLANNER, error):
            job = await cluster.submit(1)
            is_finished = await cluster.wait_for_phase(job, "completed", FINISH_SECONDS)
        for instance in cluster.instances:
            await instance.kill()
        self.assertTrue(error.is_raised)
        return is_finished

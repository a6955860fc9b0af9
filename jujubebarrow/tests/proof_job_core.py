"""The job core under random faults in virtual time."""

import unittest
from random import Random

from jujubebarrow.tests.fakes.job_chaos import Chaos
from jujubebarrow.tests.fakes.job_worlds import JobWorld
from jujubebarrow.tests.fakes.virtual_loops import run_virtual

CI_SEEDS = range(1, 21)
REGRESSIONS = (
    # A worker that could be reached again was not asked before its lease was taken
    # as over.
    9,
    10,
    # A start without an answer was carried out by a later life of its worker, after
    # another attempt had been answered and the run had ended.
    75,
    103,
    # The same, with a job cancelled while the start was on its way.
    116,
    # Ends that nobody could note before the worker's lease was over: allowed by the
    # workers' contract, and taken out of the check by the worker's own record.
    16,
    63,
    83,
)


def play(seed: int) -> list[str]:
    async def main() -> list[str]:
        random = Random(seed)
        world = JobWorld(seed=seed, instances=3, workers=3, standby=1)
        chaos = Chaos(world, random)
        try:
            await world.start()
            await chaos.run()
            unfinished = await chaos.find_unfinished()
        finally:
            for instance in world.instances:
                await instance.kill()
        failed = [
            str(line)
            for log in world.logs
            for line in log.lines
            if line["event"] == "task_failed"
        ]
        untrue = chaos.find_untrue_refusals()
        return [*world.find_faults(), *unfinished, *untrue, *failed]

    return run_virtual(main())


class JobCoreProof(unittest.TestCase):
    def test_random_faults(self) -> None:
        for seed in sorted({*CI_SEEDS, *REGRESSIONS}):
            with self.subTest(seed=seed):
                self.assertEqual(play(seed), [])

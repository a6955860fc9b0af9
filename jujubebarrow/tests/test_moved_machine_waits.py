"""Long-running tasks that wait although a worker has room, while machines are moved."""

import sys
import unittest
from random import Random

from jujubebarrow.tests.fakes.job_clusters import JobCluster
from jujubebarrow.tests.fakes.moved_machine_faults import MovedMachineFaults
from jujubebarrow.tests.fakes.virtual_loops import run_virtual

CI_SEEDS = (5001, 5002)
WORKER_COUNT = 10
OTHER_COUNT = 4


def simulate(seed: int) -> tuple[list[str], list[str], JobCluster]:
    """Return the waits and violations, the injected faults, and the cluster."""

    async def main() -> tuple[list[str], list[str], JobCluster]:
        cluster = JobCluster(
            seed=seed,
            instances=3,
            workers=WORKER_COUNT,
            others=OTHER_COUNT,
            has_other_queue=True,
        )
        faults = MovedMachineFaults(cluster, Random(seed))
        try:
            await cluster.start()
            await faults.run()
            waits = await faults.find_waits()
        finally:
            for instance in cluster.instances:
                await instance.kill()
        failed_tasks = [
            str(line)
            for log in cluster.logs
            for line in log.lines
            if line["event"] == "task_failed"
        ]
        found = [*waits, *cluster.find_repeated_runs(), *failed_tasks]
        return found, faults.events, cluster

    return run_virtual(main())


class MovedMachineWaitsTest(unittest.TestCase):
    def test_tasks_run_again_soon_after_faults_and_moves(self) -> None:
        for seed in CI_SEEDS:
            with self.subTest(seed=seed):
                found, _, cluster = simulate(seed)
                self.assertTrue(cluster.machines.ended)
                self.assertEqual(found, [])


def main() -> None:
    """Print what is found in the seeds FIRST to LAST, the arguments."""
    for seed in range(int(sys.argv[1]), int(sys.argv[2]) + 1):
        found, events, cluster = simulate(seed)
        print(seed, len(cluster.machines.moves), found, events if found else "")


if __name__ == "__main__":
    main()

"""Owners that reach the store only through relays, some of which are cut off, too."""

from asyncio import sleep

from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import JobCluster

DETECTION_SECONDS = 1.0
"""Time after the cut after which an instance knows of it: the timeout of a call."""
START_LIMIT_SECONDS = 1.0
"""Objective of a short job."""
RELAYED_CALL_LIMIT_SECONDS = 0.3
"""Longest time of a relayed call, a third of the timeout of a direct call."""
INSTANCE_COUNT = 10
CUT_COUNT = 4


def _find_start_delays(cluster: JobCluster, accepted: dict[str, float]) -> list[float]:
    started: dict[str, float] = {}
    for run in cluster.list_runs():
        job = run.task.job
        started[job] = min(run.started_at, started.get(job, float("inf")))
    return [started.get(job, float("inf")) - at for job, at in accepted.items()]


class CutOwnerTest(JobCase):
    def _run_cut(self, seed: int, loss_probability: float) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await sleep(2.0)
            owner = cluster.find_owner()
            assert owner is not None
            others = [other for other in cluster.instances if other is not owner]
            cut, reachable = others[: CUT_COUNT - 1], others[CUT_COUNT - 1 :]
            for instance in (owner, *cut):
                instance.store.loss_probability = loss_probability
            await sleep(DETECTION_SECONDS)
            accepted = {}
            clock = cluster.instances[0].clock
            for number in range(40):
                submitter = cluster.instances.index(reachable[number % len(reachable)])
                job = await cluster.submit(number, instance=submitter)
                accepted[job] = clock.monotonic()
                await sleep(0.17)
            await sleep(4.0)
            delays = _find_start_delays(cluster, accepted)
            self.assertLessEqual(max(delays), START_LIMIT_SECONDS, seed)

        self.run_scenario(scenario, seed=seed, instances=INSTANCE_COUNT)

    def test_jobs_start_in_time_while_the_owner_and_some_relays_are_cut_off(
        self,
    ) -> None:
        for seed in range(1, 4):
            self._run_cut(seed, 1.0)

    def test_jobs_start_in_time_while_most_calls_of_the_owner_are_lost(self) -> None:
        for seed in (1, 2, 3, 23, 26, 57):
            self._run_cut(seed, 0.7)


class ProbedPathTest(JobCase):
    def test_no_call_waits_for_the_timeout_of_a_path_known_to_be_down(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            instance = cluster.instances[0]
            instance.store.is_disconnected = True
            await sleep(DETECTION_SECONDS + 0.5)
            longest = 0.0
            for _ in range(100):
                sent_at = instance.clock.monotonic()
                await instance.relayed.read("control//")
                longest = max(longest, instance.clock.monotonic() - sent_at)
                await sleep(0.05)
            self.assertLess(longest, RELAYED_CALL_LIMIT_SECONDS)

        self.run_scenario(scenario)

"""Faults of a site beside those of its store, its workers and its processes."""

import asyncio
from collections.abc import Callable
from random import Random

from jujubebarrow.tests.fakes.platform_relay_paths import RelayFault
from jujubebarrow.tests.fakes.platform_sites import PlatformSite, SiteEntry

LONGEST_HOLD_SECONDS = 3.0
LAPSE_RANGE_SECONDS = (4.6, 6.0)
"""Longer than an instance checks keys with an unconfirmed configuration, 4.4 s."""
REMOVED_QUEUES_SHARE = 0.2
WITHDRAWN_KEY_SHARE = 0.4


class SiteFaults:
    """Draws faults from a seed.

    Args:
        site: Site that gets the faults.
        seed: Seed of the faults.
        record: Records a fault.
    """

    def __init__(self, site: PlatformSite, seed: int, record: Callable[[str], None]):
        self._site = site
        self._seed = seed
        self._record = record
        self._is_lapsing = False

    async def change_configurations(self, deadline: float) -> None:
        """Withdraw the key and the queues that need it, and give them back."""
        loop, random = asyncio.get_running_loop(), Random(f"keys {self._seed}")
        while loop.time() < deadline:
            await asyncio.sleep(random.uniform(0.5, 2.0))
            has_queues = random.random() >= REMOVED_QUEUES_SHARE
            has_key = random.random() >= WITHDRAWN_KEY_SHARE
            self._site.write_configuration(has_key, has_queues)
            self._record(f"configuration: key {has_key}, keyed queues {has_queues}")
        self._site.write_configuration()

    async def lapse_configurations(self, deadline: float) -> None:
        """Keep some instances from reading the configuration, directly or by relays."""
        loop, random = asyncio.get_running_loop(), Random(f"lapses {self._seed}")
        while loop.time() < deadline:
            await asyncio.sleep(random.uniform(0.5, 2.0))
            if loop.time() + LAPSE_RANGE_SECONDS[0] > deadline:
                return
            count = random.randrange(1, len(self._site.entries))
            entries = random.sample(self._site.entries, count)
            self._record(f"no configuration: {[entry.name for entry in entries]}")
            self._is_lapsing = True
            self._set_relay_faults(RelayFault.RESET, self._site.entries)
            for entry in entries:
                entry.store_path.refuses_configuration = True
            await asyncio.sleep(random.uniform(*LAPSE_RANGE_SECONDS))
            self._is_lapsing = False
            self._set_relay_faults(RelayFault.NONE, self._site.entries)
            for entry in entries:
                entry.store_path.refuses_configuration = False
            self._record("configurations again")

    async def disturb_relays(self, deadline: float) -> None:
        """Reset and delay the calls between instances."""
        loop, random = asyncio.get_running_loop(), Random(f"relays {self._seed}")
        while loop.time() < deadline:
            await asyncio.sleep(random.uniform(0.05, 0.4))
            entry = random.choice(self._site.entries)
            fault = random.choice(list(RelayFault))
            if not self._is_lapsing:
                self._set_relay_faults(fault, [entry])
                self._record(f"relays to {entry.name}: {fault.value}")
        self._set_relay_faults(RelayFault.NONE, self._site.entries)

    def _set_relay_faults(self, fault: RelayFault, entries: list[SiteEntry]) -> None:
        for entry in entries:
            if entry.relay_path is not None:
                entry.relay_path.fault = fault
                if fault is RelayFault.RESET:
                    entry.relay_path.reset_connections()

    async def end_waiting_entries(self, deadline: float) -> None:
        """Stop instances by SIGTERM while submissions wait for the store."""
        loop, random = asyncio.get_running_loop(), Random(f"ends {self._seed}")
        while loop.time() < deadline:
            await asyncio.sleep(random.uniform(0.5, 2.0))
            if loop.time() + LONGEST_HOLD_SECONDS > deadline:
                return
            entry = random.choice(self._site.entries)
            entry.store_path.holds_transactions = True
            self._record(f"store of {entry.name} holds transactions")
            await asyncio.sleep(random.uniform(0.1, 0.8))
            self._record(f"{entry.name} ends with held transactions")
            restart = asyncio.create_task(self._site.restart(entry, True))
            await asyncio.sleep(random.uniform(0.0, LONGEST_HOLD_SECONDS))
            entry.store_path.holds_transactions = False
            self._record(f"store of {entry.name} goes on")
            await restart
            self._record(f"{entry.name} starts")

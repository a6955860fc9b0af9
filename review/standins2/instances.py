"""Processes of the project, started as its deploy file says."""

import asyncio
import os
import random
import subprocess
import time
from pathlib import Path

from wire import call

REPOSITORY = Path(__file__).resolve().parents[2]
COMMAND = ["python3", "-P", "-m", "jujubebarrow.platform.main"]
FIRST_PORT = 12_000
LAST_PORT = 30_000
PORTS_COUNT = 8
READY_SECONDS = 25.0
POLL_SECONDS = 0.2
SETTINGS = """\
NodeName={name}
Role=entry
MachineClass=frontend
Serves=frontend
Ip={host}
Zone=z1
Region=r1
Zones.z1=r1
ListenAddrs.FrontAddr={host}:{port}
ListenAddrs.ReadyAddr={host}:{ready_port}
PortRange={first_port},{last_port}
Bootstrap=true
Limits.CpuShare=0.537
Limits.Cores=2
Limits.MemoryMb=300
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
HeartbeatMs=1500
Bounds.ContactMs=3000
Bounds.AckMs=4000
Bounds.DrainMs=2000
Bounds.GraceS=6
Bounds.ConfigApplyMs=2000
Bounds.RevokeMs=5000
Bounds.HoldMaxMs=6000
Bounds.StopGraceMs=400
Bounds.GangTimeoutMs=3000
Bounds.cancel_ms=3000
Bounds.visible_ms=3000
Bounds.early_ms=250
Bounds.finish_s=14
Bounds.status_s=120
Bounds.NoticeMs=4500
Bounds.MoveS=1.5
Bounds.UpkeepS=2
Bounds.FencingEnforced=true
Bounds.LeaseMs=3000
Bounds.PaceMs=100
Bounds.HarmMs=4000
Commands=rpc
platform.Address={store}
platform.form=table
platform.RowBytes=65536
CloudApi.Address={machines}
CloudApi.RatePerS=64.0
CloudApi.DutyPerS=64.0
"""


class Instance:
    """One entry instance on a loopback address of its own.

    Args:
        name: Name of the machine.
        host: Loopback address.
        folder: Folder of the settings file and the log.
        store: Address of the store.
        machines: Address of the machine service.
    """

    def __init__(self, name: str, host: str, folder: Path, store: str, machines: str):
        port = random.randrange(FIRST_PORT, LAST_PORT - PORTS_COUNT)
        self.name = name
        self.address = f"{host}:{port}"
        self.ready_address = f"{host}:{port + 1}"
        self._settings = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                host=host,
                port=port,
                ready_port=port + 1,
                first_port=port + 2,
                last_port=port + PORTS_COUNT,
                store=store,
                machines=machines,
            )
        )
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C"),
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            "JUJUBEBARROW_CONFIG": str(self._settings),
        }
        with self._log.open("ab") as output:
            self._process = subprocess.Popen(
                COMMAND,
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def kill(self) -> None:
        """End the process."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()


def draw_host_prefix() -> str:
    """Return the first three bytes of random loopback addresses."""
    return f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"


async def wait_until_ready(instances: list[Instance]) -> bool:
    """Return whether all instances became ready in time."""
    deadline = time.monotonic() + READY_SECONDS
    while time.monotonic() < deadline:
        answers = [
            await call(item.ready_address, "GET", "/-/readyz") for item in instances
        ]
        if all(status == 200 for status, _ in answers):
            return True
        await asyncio.sleep(POLL_SECONDS)
    return False

"""Small load driver over reused connections, a process of its own."""

import argparse
import json
import time
from asyncio import (
    IncompleteReadError,
    StreamReader,
    gather,
    open_connection,
    run,
    sleep,
)
from dataclasses import asdict, dataclass, field

from jujubebarrow.benches.audits import percentile

HEADER_END = b"\r\n\r\n"


@dataclass
class DriverReport:
    """Result of one drive.

    Attributes:
        rate: Answers a second.
        failures: Answers with another status than 200, and lost connections.
        p50: Median latency in seconds.
        p99: 99th percentile in seconds.
    """

    rate: float = 0.0
    failures: int = 0
    p50: float = 0.0
    p99: float = 0.0


@dataclass
class Driver:
    """Sends the same request over some connections.

    Attributes:
        port: Port on the loopback address.
        request: Bytes of the request.
        seconds: Length of the drive.
        rate: Requests a second over all connections; 0 for as many as possible.
        connections: Connections.
    """

    port: int
    request: bytes
    seconds: float
    rate: float
    connections: int
    latencies: list[float] = field(default_factory=list)
    failures: int = 0

    async def drive(self) -> DriverReport:
        """Drive and return the result."""
        start = time.monotonic()
        await gather(
            *(self._connect(number, start) for number in range(self.connections))
        )
        elapsed = time.monotonic() - start
        return DriverReport(
            rate=len(self.latencies) / elapsed,
            failures=self.failures,
            p50=percentile(self.latencies, 0.5),
            p99=percentile(self.latencies, 0.99),
        )

    async def _connect(self, number: int, start: float) -> None:
        reader, writer = await open_connection("127.0.0.1", self.port)
        period = self.connections / self.rate if self.rate else 0.0
        due = start + period * number / self.connections
        try:
            while time.monotonic() < start + self.seconds:
                await sleep(max(0.0, due - time.monotonic()))
                # Late starts count: latency runs from the time it was due.
                sent = due if self.rate else time.monotonic()
                writer.write(self.request)
                good = await _read_answer(reader)
                self.latencies.append(time.monotonic() - sent)
                self.failures += not good
                due += period
        except (IncompleteReadError, OSError):
            self.failures += 1
        finally:
            writer.close()


async def _read_answer(reader: StreamReader) -> bool:
    head = await reader.readuntil(HEADER_END)
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    await reader.readexactly(length)
    return head.startswith(b"HTTP/1.1 200")


def make_request(path: str, body: bytes, headers: dict[str, str]) -> bytes:
    """Return the bytes of a request."""
    lines = [f"POST {path} HTTP/1.1", "Host: 127.0.0.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + HEADER_END + body


def main() -> None:
    """Drive as told by the arguments and print the result as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--path", required=True)
    parser.add_argument("--header", action="append", default=[])
    parser.add_argument("--body", type=int, default=512)
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--rate", type=float, default=0.0)
    parser.add_argument("--connections", type=int, default=16)
    options = parser.parse_args()
    headers = dict(header.split(": ", 1) for header in options.header)
    request = make_request(options.path, b"x" * options.body, headers)
    driver = Driver(
        options.port, request, options.seconds, options.rate, options.connections
    )
    print(json.dumps(asdict(run(driver.drive()))))


if __name__ == "__main__":
    main()

"""HTTP load generator over persistent connections, run as a separate process."""

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
    """Result of one measurement.

    Attributes:
        rate: Responses per second.
        failures: Number of responses with a status other than 200 and of lost
            connections.
        p50: Median latency in seconds.
        p99: 99th percentile of the latency in seconds.
    """

    rate: float = 0.0
    failures: int = 0
    p50: float = 0.0
    p99: float = 0.0


@dataclass
class Driver:
    """Sends the same request repeatedly over several connections.

    Attributes:
        port: Port on the loopback address.
        request: Bytes of the request.
        seconds: Duration of the measurement.
        rate: Requests per second over all connections. With 0, each connection
            sends the next request as soon as it has received a response.
        connection_count: Number of connections.
        latencies: Latencies of all responses in seconds.
        failures: Number of responses with a status other than 200 and of lost
            connections.
    """

    port: int
    request: bytes
    seconds: float
    rate: float
    connection_count: int
    latencies: list[float] = field(default_factory=list)
    failures: int = 0

    async def measure(self) -> DriverReport:
        """Send requests for the configured duration and return the result."""
        start = time.monotonic()
        await gather(
            *(
                self._run_connection(number, start)
                for number in range(self.connection_count)
            )
        )
        elapsed = time.monotonic() - start
        return DriverReport(
            rate=len(self.latencies) / elapsed,
            failures=self.failures,
            p50=percentile(self.latencies, 0.5),
            p99=percentile(self.latencies, 0.99),
        )

    async def _run_connection(self, number: int, start: float) -> None:
        reader, writer = await open_connection("127.0.0.1", self.port)
        period_seconds = self.connection_count / self.rate if self.rate else 0.0
        scheduled_at = start + period_seconds * number / self.connection_count
        try:
            while time.monotonic() < start + self.seconds:
                await sleep(max(0.0, scheduled_at - time.monotonic()))
                # At a fixed rate, latency is measured from the scheduled send time.
                # A delay before the request is sent thus counts as latency.
                sent_at = scheduled_at if self.rate else time.monotonic()
                writer.write(self.request)
                is_ok = await _read_response(reader)
                self.latencies.append(time.monotonic() - sent_at)
                self.failures += not is_ok
                scheduled_at += period_seconds
        except (IncompleteReadError, OSError):
            self.failures += 1
        finally:
            writer.close()


async def _read_response(reader: StreamReader) -> bool:
    """Read one response and return whether its status is 200."""
    head = await reader.readuntil(HEADER_END)
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    await reader.readexactly(length)
    return head.startswith(b"HTTP/1.1 200")


def make_request(path: str, body: bytes, headers: dict[str, str]) -> bytes:
    """Return the bytes of a POST request."""
    lines = [f"POST {path} HTTP/1.1", "Host: 127.0.0.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + HEADER_END + body


def main() -> None:
    """Run the measurement given by the arguments and print the result as JSON."""
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
    print(json.dumps(asdict(run(driver.measure()))))


if __name__ == "__main__":
    main()

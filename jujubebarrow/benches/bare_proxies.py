"""Round-robin HTTP proxy without scheduling, the baseline for the entry instance."""

import argparse
from asyncio import Event, run
from itertools import cycle

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.web import Application, RequestHandler

CONNECTION_LIMIT = 64


class ProxyHandler(RequestHandler):
    """Forwards each request to the next worker in turn."""

    def initialize(self, client: CurlAsyncHTTPClient, workers: cycle) -> None:
        """Set the HTTP client and the endless iterator over the worker addresses."""
        self.client = client
        self.workers = workers

    async def post(self) -> None:
        """Forward the request and return the worker's status and body."""
        response = await self.client.fetch(
            f"http://{next(self.workers)}/run/labels",
            method="POST",
            body=self.request.body,
            headers={"Expect": ""},
            raise_error=False,
        )
        self.set_status(response.code)
        self.finish(response.body)


async def serve(port: int, workers: list[str]) -> None:
    """Serve until the process is terminated.

    Args:
        port: Port on the loopback address.
        workers: Addresses of the workers, as host:port.
    """
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=CONNECTION_LIMIT)
    arguments = {"client": client, "workers": cycle(workers)}
    application = Application(
        [(r"/.*", ProxyHandler, arguments)], log_function=lambda handler: None
    )
    application.listen(port, "127.0.0.1")
    await Event().wait()


def main() -> None:
    """Run the proxy as a separate process."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--workers", nargs="+", required=True)
    options = parser.parse_args()
    run(serve(options.port, options.workers))


if __name__ == "__main__":
    main()

"""Bare proxy without any policy, for comparison."""

import argparse
from asyncio import Event, run
from itertools import cycle

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.web import Application, RequestHandler

CONNECTIONS = 64


class ProxyHandler(RequestHandler):
    """Passes each request to the next worker."""

    def initialize(self, client: CurlAsyncHTTPClient, workers: cycle) -> None:
        """Take over the client and the workers."""
        self.client = client
        self.workers = workers

    async def post(self) -> None:
        """Pass the request on and answer with its answer."""
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
    """Serve until the process is ended."""
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=CONNECTIONS)
    arguments = {"client": client, "workers": cycle(workers)}
    application = Application(
        [(r"/.*", ProxyHandler, arguments)], log_function=lambda handler: None
    )
    application.listen(port, "127.0.0.1")
    await Event().wait()


def main() -> None:
    """Run the proxy as a process."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--workers", nargs="+", required=True)
    options = parser.parse_args()
    run(serve(options.port, options.workers))


if __name__ == "__main__":
    main()

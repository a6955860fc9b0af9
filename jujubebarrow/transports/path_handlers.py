"""Passes requests to one address on to handlers by their path."""

from tornado.httputil import HTTPServerRequest

from jujubebarrow.transports.http_servers import HttpRequestHandler, ServerResponse


class PathHandler(HttpRequestHandler):
    """Passes each request on to the handler of its path.

    Args:
        handlers: Handler of each path; none of them closes connections.
    """

    def __init__(self, handlers: dict[str, HttpRequestHandler]):
        self._handlers = handlers

    @property
    def closes_connections(self) -> bool:
        """Whether responses tell clients to close the connection."""
        return False

    async def handle(self, request: HTTPServerRequest) -> ServerResponse:
        """Return the response of the path's handler, or 404."""
        handler = self._handlers.get(request.path or "")
        return await handler.handle(request) if handler else ServerResponse(404)

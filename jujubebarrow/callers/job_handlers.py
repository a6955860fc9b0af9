"""Jobs of callers."""

from jujubebarrow.callers.base_handlers import BaseHandler
from jujubebarrow.callers.caller_contexts import CallerContext
from jujubebarrow.callers.job_documents import describe_job


class CallerJobHandler(BaseHandler):
    """Shows and cancels a job of the caller's team."""

    context: CallerContext

    def initialize(self, context: CallerContext) -> None:  # type: ignore[override]
        """Take over the services."""
        super().initialize(context.metrics)
        self.context = context

    async def get(self, name: str) -> None:
        """Show a job."""
        job = await self.context.jobs.get(name, self._team())
        self.answer(describe_job(name, job))

    async def delete(self, name: str) -> None:
        """Cancel a job."""
        job = await self.context.jobs.cancel(name, self._team())
        self.answer(describe_job(name, job))

    def _team(self) -> str:
        header = self.request.headers.get("Authorization")
        return self.context.authenticator.authenticate(header).team

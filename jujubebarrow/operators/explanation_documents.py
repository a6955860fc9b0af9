"""Recent decisions as operators see them."""

from pydantic import BaseModel


class ExplainedLine(BaseModel):
    """Decision on a subject."""

    time: float
    instance: str
    sentence: str


class ExplainedSubject(BaseModel):
    """Decisions on a subject from all instances that answer."""

    subject: str
    lines: list[ExplainedLine]
    silent: list[str]

"""Documents that explain recent decisions to operators."""

from pydantic import BaseModel


class DecisionDocument(BaseModel):
    """Decision that an entry instance made about a subject.

    Attributes:
        time: Unix time of the decision in seconds.
        instance: Entry instance that decided.
        sentence: Decision and its reason.
    """

    time: float
    instance: str
    sentence: str


class ExplanationDocument(BaseModel):
    """Decisions about a subject from all entry instances that respond.

    Attributes:
        subject: Id of a request or job, or name of a record.
        lines: Decisions, oldest first.
        silent: Entry instances that did not respond.
    """

    subject: str
    lines: list[DecisionDocument]
    silent: list[str]

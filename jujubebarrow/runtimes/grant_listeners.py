"""Interface to what follows the stored grants of the teams."""

from abc import ABC, abstractmethod

from jujubebarrow.identifiers import TeamId
from jujubebarrow.limits.grant_rows import GrantRow


class GrantListener(ABC):
    """Receives changes of the teams' stored grants."""

    @abstractmethod
    def on_grants_changed(self, team: TeamId, row: GrantRow) -> None:
        """Handle a changed row of a team."""

    @abstractmethod
    def on_grants_skipped(self) -> None:
        """Handle that some changes will not be reported."""

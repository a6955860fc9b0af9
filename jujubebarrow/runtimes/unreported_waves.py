"""Waves that nobody reads of."""

from typing import Any

from jujubebarrow.runtimes.wave_reporters import WaveReporter
from jujubebarrow.stores.row_keys import TableName, make_key


class UnreportedWaves(WaveReporter):
    """Keeps the state of a wave beside its progress, where operators ask control."""

    def wave_status(self, wave: int, completed: bool) -> tuple[str, dict[str, Any]]:
        """Return the key and the document that tell how far a wave is."""
        return make_key(TableName.WAVES, "", f"{wave}/state"), {"completed": completed}

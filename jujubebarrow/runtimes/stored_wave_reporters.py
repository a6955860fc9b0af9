"""Wave status for installations whose operators query the control service for waves."""

from typing import Any

from jujubebarrow.runtimes.wave_reporters import WaveReporter
from jujubebarrow.stores.row_keys import TableName, make_key


class StoredWaveReporter(WaveReporter):
    """Places the status of a wave next to the progress of the wave in the store."""

    def make_wave_status(
        self, wave: int, is_completed: bool
    ) -> tuple[str, dict[str, Any]]:
        """Return the key and the content of a wave's status document."""
        return make_key(TableName.WAVES, "", f"{wave}/state"), {
            "completed": is_completed
        }

"""Types of the configuration records; each record is a row of the platform's table."""

from jujubebarrow.configurations.budget_records import Budget
from jujubebarrow.configurations.instance_records import Instance
from jujubebarrow.configurations.key_records import Key
from jujubebarrow.configurations.maintenance_records import Maintenance
from jujubebarrow.configurations.pool_records import Pool
from jujubebarrow.configurations.preset_records import Preset
from jujubebarrow.configurations.queue_records import Queue
from jujubebarrow.configurations.record_bases import Record
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.configurations.selection_records import Selection
from jujubebarrow.configurations.team_records import Team

RECORD_TYPES: dict[RecordKind, type[Record]] = {
    RecordKind.POOL: Pool,
    RecordKind.QUEUE: Queue,
    RecordKind.TEAM: Team,
    RecordKind.KEY: Key,
    RecordKind.PRESET: Preset,
    RecordKind.SELECTION: Selection,
    RecordKind.INSTANCE: Instance,
    RecordKind.MAINTENANCE: Maintenance,
    RecordKind.BUDGET: Budget,
}

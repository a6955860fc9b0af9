"""Checks invariants of the table after every transaction."""

from jujubebarrow.configurations.budget_records import Budget
from jujubebarrow.configurations.drain_causes import DrainCause
from jujubebarrow.configurations.instance_records import Instance
from jujubebarrow.configurations.instance_states import InstanceState
from jujubebarrow.configurations.pool_records import Pool
from jujubebarrow.standins.tables import Table
from jujubebarrow.stores.transactions import Transaction

PLANNED_CAUSES = (DrainCause.MAINTENANCE, DrainCause.MOVE, DrainCause.OPERATOR)


class TableAudit:
    """Checks that availability budgets match instance states.

    Also checks that planned drains keep the pools' limits on unavailable instances.
    """

    def __init__(self, table: Table):
        self._table = table
        self.violations: list[str] = []
        self.drain_count = 0

    def check(self, transaction: Transaction) -> None:
        if not any(key.startswith("config/") for key in transaction.writes):
            return
        rows = {row.key: row.value for row in self._table.read("config/").rows}.items()
        instances: dict[str, Instance] = {}
        budgets: dict[str, Budget] = {}
        pools: dict[str, Pool] = {}
        for key, value in rows:
            _, kind, name = key.split("/", 2)
            if kind == "instances":
                instances[name] = Instance.model_validate(value)
            elif kind == "budgets":
                budgets[name] = Budget.model_validate(value)
            elif kind == "pools":
                pools[name] = Pool.model_validate(value)
        self._check_budgets(instances, budgets)
        self._check_planned_drains(transaction, instances, budgets, pools)

    def _check_budgets(
        self, instances: dict[str, Instance], budgets: dict[str, Budget]
    ) -> None:
        listed = {name for budget in budgets.values() for name in budget.unavailable}
        count = sum(len(budget.unavailable) for budget in budgets.values())
        unavailable = {
            name
            for name, instance in instances.items()
            if instance.state is not InstanceState.SERVING
        }
        if listed != unavailable or count != len(unavailable):
            self.violations.append(
                f"availability budgets list {sorted(listed)}, "
                f"but {sorted(unavailable)} are unavailable"
            )

    def _check_planned_drains(
        self,
        transaction: Transaction,
        instances: dict[str, Instance],
        budgets: dict[str, Budget],
        pools: dict[str, Pool],
    ) -> None:
        for key, value in transaction.writes.items():
            if not key.startswith("config/instances/") or value is None:
                continue
            instance = Instance.model_validate(value)
            if instance.state is not InstanceState.DRAINING:
                continue
            self.drain_count += 1
            unavailable = budgets[instance.pool].unavailable
            limit = pools[instance.pool].unavailable_limit
            if instance.cause in PLANNED_CAUSES and len(unavailable) > limit:
                self.violations.append(
                    f"{key}: {len(unavailable)} instances unavailable, limit {limit}"
                )

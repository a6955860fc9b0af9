"""Changes of an instance's state, each within its pool's budget."""

from jujubebarrow.configurations.budget_records import Budget
from jujubebarrow.configurations.configurations import Configuration
from jujubebarrow.configurations.instance_records import Instance
from jujubebarrow.configurations.instance_states import InstanceState
from jujubebarrow.configurations.move_causes import MoveCause
from jujubebarrow.configurations.pool_records import Pool
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.maintenance.changes import Change


def take_out(
    configuration: Configuration,
    name: str,
    cause: MoveCause,
    target: str | None,
    reason: str,
) -> Change:
    """Start to drain an instance that is in service.

    Args:
        configuration: Records that the decision rests on.
        name: Instance.
        cause: Why it is drained.
        target: Pool that it moves to, or None.
        reason: Sentence for operators.

    Raises:
        RefusalError: The instance is not in service or the budget is used up.
    """
    instance = require_instance(configuration, name)
    if instance.state is not InstanceState.SERVING:
        raise RefusalError(
            ErrorKind.BAD_REQUEST, f"instance {name} is {instance.state.value}"
        )
    pool = require_pool(configuration, instance.pool)
    budget = configuration.budget(instance.pool)
    if len(budget.unavailable) >= pool.unavailable_limit:
        raise RefusalError(
            ErrorKind.BUDGET_EXCEEDED,
            f"pool {instance.pool}: {len(budget.unavailable)} of "
            f"{pool.unavailable_limit} unavailable",
        )
    if target is not None:
        _check_target(configuration, instance, target)
    update = {
        "state": InstanceState.DRAINING,
        "cause": cause,
        "target": target,
        "reason": reason,
    }
    return _change(configuration, name, instance, update, reason)


def _check_target(configuration: Configuration, instance: Instance, name: str) -> None:
    pool = require_pool(configuration, name)
    if instance.accelerators < pool.accelerators:
        raise RefusalError(
            ErrorKind.NEVER_RUNS,
            f"pool {name} needs {pool.accelerators} accelerators, "
            f"the instance has {instance.accelerators}",
        )


def mark_failed(configuration: Configuration, name: str, reason: str) -> Change:
    """Record that an instance has failed, which no budget can refuse."""
    instance = require_instance(configuration, name)
    update = {"state": InstanceState.FAILED, "reason": reason}
    return _change(configuration, name, instance, update, reason)


def begin_reboot(configuration: Configuration, name: str) -> Change:
    """Record that a drained instance is being rebooted."""
    instance = require_instance(configuration, name)
    reason = "drained, rebooting"
    update = {"state": InstanceState.REBOOTING, "reason": reason}
    return _change(configuration, name, instance, update, reason)


def finish_move(configuration: Configuration, name: str, now: float) -> Change:
    """Put a drained instance into its new pool."""
    instance = require_instance(configuration, name)
    if instance.target is None:
        raise RefusalError(ErrorKind.BAD_REQUEST, f"instance {name} has no target")
    reason = f"moved from {instance.pool} to {instance.target}"
    update = {
        "pool": instance.target,
        "state": InstanceState.SERVING,
        "cause": MoveCause.NONE,
        "target": None,
        "moved": now,
        "reason": reason,
    }
    return _change(configuration, name, instance, update, reason)


def bring_back(
    configuration: Configuration, name: str, reason: str, maintained: float | None
) -> Change:
    """Put an instance back into service.

    Args:
        configuration: Records that the decision rests on.
        name: Instance.
        reason: Sentence for operators.
        maintained: End of its maintenance in seconds since the epoch, if it
            was maintained.
    """
    instance = require_instance(configuration, name)
    update: dict[str, object] = {
        "state": InstanceState.SERVING,
        "cause": MoveCause.NONE,
        "target": None,
        "reason": reason,
    }
    if maintained is not None:
        update["maintained"] = maintained
    return _change(configuration, name, instance, update, reason)


def require_instance(configuration: Configuration, name: str) -> Instance:
    """Return an instance's record or refuse."""
    instance = configuration.instance(name)
    if instance is None:
        raise RefusalError(ErrorKind.NOT_FOUND, f"instance {name}")
    return instance


def require_pool(configuration: Configuration, name: str) -> Pool:
    """Return a pool's record or refuse."""
    pool = configuration.pool(name)
    if pool is None:
        raise RefusalError(ErrorKind.NOT_FOUND, f"pool {name}")
    return pool


def _change(
    configuration: Configuration,
    name: str,
    instance: Instance,
    update: dict[str, object],
    reason: str,
) -> Change:
    changed = instance.model_copy(update=update)
    unavailable = set(configuration.budget(instance.pool).unavailable)
    if changed.state is InstanceState.SERVING:
        unavailable.discard(name)
    else:
        unavailable.add(name)
    names = [
        (RecordKind.INSTANCE, name),
        (RecordKind.BUDGET, instance.pool),
        (RecordKind.POOL, instance.pool),
    ]
    if changed.target is not None:
        names.append((RecordKind.POOL, changed.target))
    return Change(
        writes={
            (RecordKind.INSTANCE, name): changed,
            (RecordKind.BUDGET, instance.pool): Budget(unavailable=sorted(unavailable)),
        },
        conditions={item: configuration.row_revision(*item) for item in names},
        reason=reason,
        subject=name,
    )

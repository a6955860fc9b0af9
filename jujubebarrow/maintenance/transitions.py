"""Changes of an instance's state, limited by the pool's availability budget."""

from jujubebarrow.configurations.budget_records import Budget
from jujubebarrow.configurations.configurations import Configuration
from jujubebarrow.configurations.drain_causes import DrainCause
from jujubebarrow.configurations.instance_records import Instance
from jujubebarrow.configurations.instance_states import InstanceState
from jujubebarrow.configurations.pool_records import Pool
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.maintenance.changes import Change


def start_drain(
    configuration: Configuration,
    name: str,
    cause: DrainCause,
    target: str | None,
    reason: str,
) -> Change:
    """Start draining an instance that is in service.

    Args:
        configuration: Configuration records that the change is based on.
        name: Id of the instance.
        cause: Cause of the drain, which decides the state after the drain.
        target: Pool that the instance moves to, or None if it stays in its pool.
        reason: Reason shown to operators.

    Raises:
        RefusalError: The instance is not in service, the pool's availability
            budget is used up, or the target pool needs more accelerators.
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
        _check_accelerators(configuration, instance, target)
    update = {
        "state": InstanceState.DRAINING,
        "cause": cause,
        "target": target,
        "reason": reason,
    }
    return _make_change(configuration, name, instance, update, reason)


def _check_accelerators(
    configuration: Configuration, instance: Instance, name: str
) -> None:
    pool = require_pool(configuration, name)
    if instance.accelerators < pool.accelerators:
        raise RefusalError(
            ErrorKind.NEVER_RUNS,
            f"pool {name} needs {pool.accelerators} accelerators, "
            f"the instance has {instance.accelerators}",
        )


def mark_failed(configuration: Configuration, name: str, reason: str) -> Change:
    """Mark an instance as failed, regardless of the availability budget."""
    instance = require_instance(configuration, name)
    update = {"state": InstanceState.FAILED, "reason": reason}
    return _make_change(configuration, name, instance, update, reason)


def mark_rebooting(configuration: Configuration, name: str) -> Change:
    """Mark a drained instance as rebooting."""
    instance = require_instance(configuration, name)
    reason = "drained, rebooting"
    update = {"state": InstanceState.REBOOTING, "reason": reason}
    return _make_change(configuration, name, instance, update, reason)


def finish_move(configuration: Configuration, name: str, now: float) -> Change:
    """Assign a drained instance to its target pool and return it to service.

    Args:
        configuration: Configuration records that the change is based on.
        name: Id of the instance.
        now: Time of the move in seconds since the epoch.

    Raises:
        RefusalError: The instance does not exist or has no target pool.
    """
    instance = require_instance(configuration, name)
    if instance.target is None:
        raise RefusalError(ErrorKind.BAD_REQUEST, f"instance {name} has no target")
    reason = f"moved from {instance.pool} to {instance.target}"
    update = {
        "pool": instance.target,
        "state": InstanceState.SERVING,
        "cause": DrainCause.NONE,
        "target": None,
        "moved": now,
        "reason": reason,
    }
    return _make_change(configuration, name, instance, update, reason)


def return_to_service(
    configuration: Configuration, name: str, reason: str, maintained: float | None
) -> Change:
    """Return an instance to service.

    Args:
        configuration: Configuration records that the change is based on.
        name: Id of the instance.
        reason: Reason shown to operators.
        maintained: End of the instance's maintenance in seconds since the epoch,
            or None if no maintenance took place.
    """
    instance = require_instance(configuration, name)
    update: dict[str, object] = {
        "state": InstanceState.SERVING,
        "cause": DrainCause.NONE,
        "target": None,
        "reason": reason,
    }
    if maintained is not None:
        update["maintained"] = maintained
    return _make_change(configuration, name, instance, update, reason)


def require_instance(configuration: Configuration, name: str) -> Instance:
    """Return an instance's record.

    Raises:
        RefusalError: The instance does not exist.
    """
    instance = configuration.instance(name)
    if instance is None:
        raise RefusalError(ErrorKind.NOT_FOUND, f"instance {name}")
    return instance


def require_pool(configuration: Configuration, name: str) -> Pool:
    """Return a pool's record.

    Raises:
        RefusalError: The pool does not exist.
    """
    pool = configuration.pool(name)
    if pool is None:
        raise RefusalError(ErrorKind.NOT_FOUND, f"pool {name}")
    return pool


def _make_change(
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

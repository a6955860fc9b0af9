"""Start relay for installations whose instances accept no calls from each other."""

from jujubebarrow.coordinators.order_results import OrderResult
from jujubebarrow.coordinators.orders import StartOrder
from jujubebarrow.gateways.start_relays import StartRelay, StartsNotRelayedError


class NullStartRelay(StartRelay):
    """Relays nothing."""

    @property
    def is_available(self) -> bool:
        """Whether an instance is known that may relay orders; never."""
        return False

    async def start(self, orders: list[StartOrder]) -> list[OrderResult]:
        """Raise StartsNotRelayedError."""
        raise StartsNotRelayedError("no instance relays orders")

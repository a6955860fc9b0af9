"""Ends of the leases that orders grant to one incarnation of a worker."""


class LeaseBook:
    """Leases issued to a worker by orders, some of which may be executed late.

    An order that got no response may be executed seconds later, and the lease that it
    grants may begin only then. The worker's runs survive until the end of that lease
    if the former lease has not expired by then.

    Args:
        timely_end: Time in seconds at which former leases have expired if their orders
            were executed when they were sent.
        latest_end: Time in seconds at which they have expired in any case.
    """

    def __init__(self, timely_end: float, latest_end: float = 0.0):
        self._timely_end = timely_end
        self._latest_end = latest_end
        # Number of orders without a response, the time until which they may be
        # executed, and the length of their leases, by the time of sending.
        self._unanswered: dict[float, tuple[int, float, float]] = {}

    @property
    def timely_end(self) -> float:
        """Time in seconds at which the leases end if no order is executed late."""
        return self._timely_end

    @property
    def end(self) -> float:
        """Time in seconds at which all leases are certainly over."""
        end = self._timely_end
        for _, executed_until, length in self._unanswered.values():
            end = max(end, min(end, executed_until) + length)
        return max(end, self._latest_end)

    @property
    def has_unanswered(self) -> bool:
        """Whether an order that grants a lease has got no response."""
        return bool(self._unanswered)

    def issue(
        self, sent_at: float, end: float, length: float, executed_until: float
    ) -> None:
        """Add an order that is sent.

        Args:
            sent_at: Time in seconds.
            end: Latest end of the lease in seconds if the order is not executed late.
            length: Longest duration of the lease in seconds.
            executed_until: Time in seconds until which the order may be executed.
        """
        self._timely_end = max(self._timely_end, end)
        count = self._unanswered.get(sent_at, (0, 0.0, 0.0))[0] + 1
        self._unanswered[sent_at] = (count, executed_until, length)
        first, (_, until, first_length) = next(iter(self._unanswered.items()))
        if until + first_length < sent_at:
            del self._unanswered[first]

    def settle(self, sent_at: float) -> None:
        """Note that an order has got its response or has not been executed."""
        count, executed_until, length = self._unanswered.get(sent_at, (0, 0.0, 0.0))
        if count > 1:
            self._unanswered[sent_at] = (count - 1, executed_until, length)
        else:
            self._unanswered.pop(sent_at, None)

    def extend(self, end: float) -> None:
        """Let the leases end no earlier than at a time in seconds."""
        self._timely_end = max(self._timely_end, end)

    def limit(self, timely_end: float, latest_end: float) -> None:
        """Let former leases end no later than a record of them tells.

        Args:
            timely_end: Time in seconds at which they have expired if no order is
                executed late.
            latest_end: Time in seconds at which they have expired in any case.
        """
        former_end = max(self._timely_end, self._latest_end)
        self._timely_end = min(self._timely_end, timely_end)
        self._latest_end = min(former_end, latest_end)

"""Bound on retries."""


class RetryBudget:
    """Lets retries be at most a part of all requests.

    Args:
        ratio: Retries that each request earns.
        reserve: Most retries saved up.
    """

    def __init__(self, ratio: float, reserve: float):
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve

    def deposit(self) -> None:
        """Add what one request earns."""
        self._tokens = min(self._reserve, self._tokens + self._ratio)

    def withdraw(self) -> bool:
        """Take one retry; return False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

"""Retry budget."""


class RetryBudget:
    """Limits retries to a share of all requests (token bucket).

    Args:
        ratio: Fraction of a retry that each request adds to the budget.
        reserve: Largest number of retries in the budget, and the initial number.
    """

    def __init__(self, ratio: float, reserve: float):
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve

    def deposit(self) -> None:
        """Add one request's fraction of a retry to the budget."""
        self._tokens = min(self._reserve, self._tokens + self._ratio)

    def withdraw(self) -> bool:
        """Withdraw one retry; return False if the budget is exhausted."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

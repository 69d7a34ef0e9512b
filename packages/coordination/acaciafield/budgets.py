"""A shared budget for retries and hedges, fed by successes."""

RETRY_SHARE = 0.1  # retries and hedges allowed for each success
INITIAL_TOKENS = 5.0  # lets a quiet service retry at all
MAX_TOKENS = 50.0


class RetryBudget:
    """A token bucket: a success adds a share, a retry takes one.

    >>> budget = RetryBudget()
    >>> [budget.take() for _ in range(6)]
    [True, True, True, True, True, False]
    """

    __slots__ = ("tokens",)

    def __init__(self):
        self.tokens = INITIAL_TOKENS

    def add_success(self):
        """Earn a share of a retry."""
        self.tokens = min(MAX_TOKENS, self.tokens + RETRY_SHARE)

    def take(self):
        """Spend one retry; return whether there was one to spend."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

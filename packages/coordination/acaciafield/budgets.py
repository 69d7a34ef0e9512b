"""A shared budget for retries and hedges, fed by successes."""

RETRY_SHARE = 0.1  # retries and hedges allowed for each success
TRICKLE = 0.5  # retries a second that a service without success has
INITIAL_TOKENS = 5.0  # lets a quiet service retry at all
MAX_TOKENS = 50.0


class RetryBudget:
    """A token bucket: successes and time fill it, a retry takes one.

    >>> budget = RetryBudget(0.0)
    >>> [budget.take(0.0) for _ in range(6)]
    [True, True, True, True, True, False]
    >>> budget.take(2.0)
    True
    """

    __slots__ = ("tokens", "filled_at")

    def __init__(self, now):
        self.tokens = INITIAL_TOKENS
        self.filled_at = now

    def add_success(self):
        """Earn a share of a retry."""
        self.tokens = min(MAX_TOKENS, self.tokens + RETRY_SHARE)

    def take(self, now):
        """Spend one retry; return whether there was one to spend."""
        if self.tokens < INITIAL_TOKENS:
            earned = TRICKLE * (now - self.filled_at)
            self.tokens = min(INITIAL_TOKENS, self.tokens + earned)
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

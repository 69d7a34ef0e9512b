"""Retry budget of a service, for retries and hedges."""

RETRY_RATIO = 0.1  # tokens for each success
MIN_RETRIES_PER_S = 0.5  # so that a service without success can retry
INITIAL_TOKENS = 5.0  # lets a service with few requests retry
MAX_TOKENS = 50.0


class RetryBudget:
    """A token bucket that successes and time fill; a retry takes a token.

    >>> budget = RetryBudget(0.0)
    >>> [budget.take_token(0.0) for _ in range(6)]
    [True, True, True, True, True, False]
    >>> budget.take_token(2.0)
    True
    """

    __slots__ = ("tokens", "filled_at")

    def __init__(self, now):
        self.tokens = INITIAL_TOKENS
        self.filled_at = now

    def add_success(self):
        """Add the tokens that one success earns."""
        self.tokens = min(MAX_TOKENS, self.tokens + RETRY_RATIO)

    def take_token(self, now):
        """Take one token; return whether there was one.

        Time (``now`` in seconds) fills the bucket up to INITIAL_TOKENS only.
        """
        if self.tokens < INITIAL_TOKENS:
            earned = MIN_RETRIES_PER_S * (now - self.filled_at)
            self.tokens = min(INITIAL_TOKENS, self.tokens + earned)
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

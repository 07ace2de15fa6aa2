"""Estimates answer lengths online, per class and account."""

from __future__ import annotations

from collections import OrderedDict
from math import log2

BUCKETS_PER_DOUBLING = 2
"""Resolution of a length distribution: each bucket is about 1.4 times as wide as the previous."""

BUCKET_COUNT = 36
"""Number of buckets of a distribution; the last one starts at about 180,000 tokens."""

DECAY = 0.98
"""Factor by which each new answer reduces the weight of older ones, so that about the last 50
answers count."""

MINIMUM_MASS = 8.0
"""Minimum weighted number of answers before a distribution is preferred to a more general one."""

DEFAULT_TOKENS = 64.0
"""Expected length before any answer was observed. It is short on purpose: a high estimate makes a
new agent refuse requests needlessly, while a low estimate is corrected in the queue."""

MAXIMUM_DISTRIBUTIONS = 2_048
"""Maximum number of distributions by class and account; the least recently used are evicted."""


class LengthDistribution:
    """Exponentially decayed histogram of answer lengths with log-spaced buckets.

    Example:
        >>> lengths = LengthDistribution()
        >>> for _ in range(20):
        ...     lengths.observe(100)
        >>> 80 < lengths.expected_remaining(0) < 120
        True
    """

    def __init__(self) -> None:
        self.mass = 0.0
        self._mass_by_bucket = [0.0] * BUCKET_COUNT
        self._tokens_by_bucket = [0.0] * BUCKET_COUNT
        self._tails: list[tuple[float, float]] | None = None

    def observe(self, tokens: int) -> None:
        """Record the length of a finished answer."""
        bucket = _bucket(tokens)
        self._mass_by_bucket = [each * DECAY for each in self._mass_by_bucket]
        self._tokens_by_bucket = [each * DECAY for each in self._tokens_by_bucket]
        self._mass_by_bucket[bucket] += 1.0
        self._tokens_by_bucket[bucket] += tokens
        self.mass = self.mass * DECAY + 1.0
        self._tails = None

    def expected_remaining(self, age: int) -> float:
        """Return the expected remaining tokens of an answer that already has `age` tokens."""
        mass, tokens = self._tail(_bucket(age) + 1 if age else 0)
        account_distribution = _bucket(age)
        if (
            age
            and self._mass_by_bucket[account_distribution]
            and self._mean(account_distribution) > age
        ):
            mass += self._mass_by_bucket[account_distribution]
            tokens += self._tokens_by_bucket[account_distribution]
        if mass < self.mass * 0.01 or not mass:
            return max(1.0, 0.5 * age)
        return max(1.0, tokens / mass - age)

    def _mean(self, bucket: int) -> float:
        return self._tokens_by_bucket[bucket] / self._mass_by_bucket[bucket]

    def _tail(self, bucket: int) -> tuple[float, float]:
        if self._tails is None:
            self._tails = self._compute_tails()
        return self._tails[min(bucket, BUCKET_COUNT)]

    def _compute_tails(self) -> list[tuple[float, float]]:
        tails = [(0.0, 0.0)]
        mass, tokens = 0.0, 0.0
        for bucket in reversed(range(BUCKET_COUNT)):
            mass += self._mass_by_bucket[bucket]
            tokens += self._tokens_by_bucket[bucket]
            tails.append((mass, tokens))
        return tails[::-1]


class WorkEstimates:
    """Length distributions by class and account, by class, and over all answers."""

    def __init__(self) -> None:
        self._overall = LengthDistribution()
        self._by_class: dict[str, LengthDistribution] = {}
        self._by_class_and_account: OrderedDict[tuple[str, str], LengthDistribution] = OrderedDict()

    def observe(self, request_class: str, account: str, tokens: int) -> None:
        """Record the length of a finished answer."""
        self._overall.observe(tokens)
        self._by_class.setdefault(request_class, LengthDistribution()).observe(tokens)
        key = (request_class, account)
        self._by_class_and_account.setdefault(key, LengthDistribution()).observe(tokens)
        self._by_class_and_account.move_to_end(key)
        if len(self._by_class_and_account) > MAXIMUM_DISTRIBUTIONS:
            self._by_class_and_account.popitem(last=False)

    def expected_remaining(
        self, request_class: str, account: str, age: int = 0, hint: int = 0
    ) -> float:
        """Return the expected remaining tokens of an answer.

        Args:
            request_class: The name of the request's class.
            account: The name of the client account.
            age: Number of tokens that the answer already has.
            hint: The expected length given with the request, or 0 for none.

        Returns:
            The expected number of tokens, at least one.
        """
        distribution = self._distribution(request_class, account)
        if distribution is not None:
            return distribution.expected_remaining(age)
        return max(1.0, (hint or DEFAULT_TOKENS) - age, 0.5 * age)

    def _distribution(self, request_class: str, account: str) -> LengthDistribution | None:
        account_distribution = self._by_class_and_account.get((request_class, account))
        if account_distribution is not None and account_distribution.mass >= MINIMUM_MASS:
            return account_distribution
        class_distribution = self._by_class.get(request_class)
        if class_distribution is not None and class_distribution.mass >= MINIMUM_MASS:
            return class_distribution
        return self._overall if self._overall.mass >= MINIMUM_MASS else None


def _bucket(tokens: int) -> int:
    if tokens <= 1:
        return 0
    return min(BUCKET_COUNT - 1, int(log2(tokens) * BUCKETS_PER_DOUBLING))

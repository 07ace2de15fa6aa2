"""Expected answer lengths, learned online by class and account."""

from __future__ import annotations

from collections import OrderedDict
from math import log2

BUCKETS_PER_DOUBLING = 2
"""Resolution of a length distribution: each bucket is about 1.4 times as wide as the last."""

BUCKET_COUNT = 36
"""Buckets of a distribution; the last one begins at about 180,000 tokens."""

DECAY = 0.98
"""Weight that an older answer keeps with each newer one; about the last 50 answers count."""

MINIMUM_MASS = 8.0
"""Answers that a distribution must hold before it is preferred to a wider one."""

DEFAULT_TOKENS = 64.0
"""Expected length while nothing at all was learned. Rather short: too long a guess would refuse
requests of a new agent for no reason, while too short a one is corrected in the queue."""

MAXIMUM_DISTRIBUTIONS = 2_048
"""Distributions kept by class and account; the least recently used goes first."""


class LengthDistribution:
    """Decayed histogram of answer lengths in log-spaced buckets.

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
        """Take in the length of a finished answer."""
        bucket = _bucket(tokens)
        self._mass_by_bucket = [each * DECAY for each in self._mass_by_bucket]
        self._tokens_by_bucket = [each * DECAY for each in self._tokens_by_bucket]
        self._mass_by_bucket[bucket] += 1.0
        self._tokens_by_bucket[bucket] += tokens
        self.mass = self.mass * DECAY + 1.0
        self._tails = None

    def expected_remaining(self, age: int) -> float:
        """Return the expected tokens still to come of an answer that has `age` tokens."""
        mass, tokens = self._tail(_bucket(age) + 1 if age else 0)
        own = _bucket(age)
        if age and self._mass_by_bucket[own] and self._mean(own) > age:
            mass += self._mass_by_bucket[own]
            tokens += self._tokens_by_bucket[own]
        if mass < self.mass * 0.01 or not mass:
            return max(1.0, 0.5 * age)
        return max(1.0, tokens / mass - age)

    def _mean(self, bucket: int) -> float:
        return self._tokens_by_bucket[bucket] / self._mass_by_bucket[bucket]

    def _tail(self, bucket: int) -> tuple[float, float]:
        if self._tails is None:
            self._tails = self._summed_tails()
        return self._tails[min(bucket, BUCKET_COUNT)]

    def _summed_tails(self) -> list[tuple[float, float]]:
        tails = [(0.0, 0.0)]
        mass, tokens = 0.0, 0.0
        for bucket in reversed(range(BUCKET_COUNT)):
            mass += self._mass_by_bucket[bucket]
            tokens += self._tokens_by_bucket[bucket]
            tails.append((mass, tokens))
        return tails[::-1]


class WorkEstimates:
    """Distributions by class and account, by class, and over everything."""

    def __init__(self) -> None:
        self._all = LengthDistribution()
        self._by_class: dict[str, LengthDistribution] = {}
        self._by_class_and_account: OrderedDict[tuple[str, str], LengthDistribution] = OrderedDict()

    def observe(self, request_class: str, account: str, tokens: int) -> None:
        """Take in the length of a finished answer."""
        self._all.observe(tokens)
        self._by_class.setdefault(request_class, LengthDistribution()).observe(tokens)
        key = (request_class, account)
        self._by_class_and_account.setdefault(key, LengthDistribution()).observe(tokens)
        self._by_class_and_account.move_to_end(key)
        if len(self._by_class_and_account) > MAXIMUM_DISTRIBUTIONS:
            self._by_class_and_account.popitem(last=False)

    def expected_remaining(
        self, request_class: str, account: str, age: int = 0, hint: int = 0
    ) -> float:
        """Return the expected tokens still to come.

        Args:
            request_class: The name of the request's class.
            account: The name of the client account.
            age: Tokens that the answer has already.
            hint: The expected length that came with the request; 0 for none.

        Returns:
            Tokens, at least one.
        """
        distribution = self._distribution(request_class, account)
        if distribution is not None:
            return distribution.expected_remaining(age)
        return max(1.0, (hint or DEFAULT_TOKENS) - age, 0.5 * age)

    def _distribution(self, request_class: str, account: str) -> LengthDistribution | None:
        own = self._by_class_and_account.get((request_class, account))
        if own is not None and own.mass >= MINIMUM_MASS:
            return own
        of_class = self._by_class.get(request_class)
        if of_class is not None and of_class.mass >= MINIMUM_MASS:
            return of_class
        return self._all if self._all.mass >= MINIMUM_MASS else None


def _bucket(tokens: int) -> int:
    if tokens <= 1:
        return 0
    return min(BUCKET_COUNT - 1, int(log2(tokens) * BUCKETS_PER_DOUBLING))

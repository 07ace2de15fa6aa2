"""Client of the platform's rate-limited weight store."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from urllib.parse import quote

from ._http import Answer, CallFailure, HttpCaller, Timeouts

DEFAULT_RETRY_AFTER = timedelta(seconds=5)


class WeightCause(StrEnum):
    """Why weights could not be read."""

    UNREACHABLE = "unreachable"
    OUTAGE = "outage"
    RATE = "rate"
    NO_ANSWER = "no_answer"
    NOT_FOUND = "not_found"
    BAD_ANSWER = "bad_answer"


@dataclass(frozen=True, slots=True)
class Weights:
    """The bytes of a model's version."""

    data: bytes


@dataclass(frozen=True, slots=True)
class WeightsUnavailable:
    """The weights could not be read now."""

    cause: WeightCause
    retry_after: timedelta | None = DEFAULT_RETRY_AFTER
    """When to ask again; None where asking again cannot help."""


class WeightStoreClient:
    """The weight store over HTTP."""

    def __init__(self, address: str, timeouts: Timeouts | None = None) -> None:
        self._caller = HttpCaller(address, timeouts or Timeouts(answer=timedelta(seconds=60)))

    async def aclose(self) -> None:
        """Close every connection."""
        await self._caller.aclose()

    async def read(self, model: str, version: str) -> Weights | WeightsUnavailable:
        """Read the weights of a model's version, in one attempt."""
        path = f"/weights/{quote(model, safe='')}/{quote(version, safe='')}"
        match await self._caller.call("GET", path):
            case CallFailure.NOT_SENT:
                return WeightsUnavailable(WeightCause.UNREACHABLE)
            case CallFailure.NO_ANSWER:
                return WeightsUnavailable(WeightCause.NO_ANSWER)
            case Answer(status=200, body=body):
                return Weights(body)
            case Answer(status=404):
                return WeightsUnavailable(WeightCause.NOT_FOUND, None)
            case Answer(status=429, headers_by_name=headers):
                text = headers.get("retry-after", "")
                wait = timedelta(seconds=int(text)) if text.isdigit() else DEFAULT_RETRY_AFTER
                return WeightsUnavailable(WeightCause.RATE, wait)
            case Answer(status=503):
                return WeightsUnavailable(WeightCause.OUTAGE)
            case _:
                return WeightsUnavailable(WeightCause.BAD_ANSWER)

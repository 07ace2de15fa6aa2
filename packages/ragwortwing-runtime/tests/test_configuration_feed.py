"""Tests of the configuration feed: following the log, catching up from peers, never going back."""

from __future__ import annotations

from contextlib import asynccontextmanager
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING, Any

import trio

from ragwortwing_lab.standins.faults import Fault, FaultKind
from ragwortwing_lab.standins.in_process import running_store
from ragwortwing_platform.product_services import StoreServices
from ragwortwing_policy.configuration_log import (
    NO_REVISION,
    Checkpoint,
    PresetSwitch,
    Publication,
    decode_entry,
    encode_entry,
)
from ragwortwing_runtime.configuration_feed import ConfigurationFeed
from ragwortwing_runtime.system_clock import SystemClock

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ragwortwing_lab.standins.record_log import RecordLog

DOCUMENT: dict[str, Any] = {
    "format": 1,
    "classes": {"chat": {"tier": 0}},
    "presets": {"ordinary": {}, "peak": {}},
}


def publish(log: RecordLog, base: int = NO_REVISION) -> None:
    entry = Publication(f"p{base}", base, "ordinary", DOCUMENT)
    log.append("configuration", encode_entry(entry))


def switch(log: RecordLog, base: int, preset: str) -> None:
    log.append("configuration", encode_entry(PresetSwitch(f"s{base}", base, preset)))


def make_feed(address: str, checkpoint_interval: timedelta | None = None) -> ConfigurationFeed:
    return ConfigurationFeed(
        StoreServices(address).log,
        SystemClock(),
        Random(1),
        checkpoint_interval=checkpoint_interval,
    )


@asynccontextmanager
async def running_feed(address: str) -> AsyncIterator[ConfigurationFeed]:
    feed = make_feed(address)
    async with trio.open_nursery() as nursery:
        await nursery.start(feed.run)
        yield feed
        nursery.cancel_scope.cancel()


async def test_a_change_is_in_force_as_soon_as_it_is_in_the_log() -> None:
    async with running_store() as (standin, address), running_feed(address) as feed:
        assert feed.current is None
        with trio.fail_after(5):
            publish(standin.log)
            assert (await feed.ready()).preset == "ordinary"
            switch(standin.log, 0, "peak")
            while feed.revision < 1:
                await feed.changed()
        assert feed.current is not None
        assert feed.current.preset == "peak"


async def test_a_new_process_catches_up_from_a_peer_during_a_log_outage() -> None:
    """Guards against a process that refuses all callers when its VM is replaced in a log outage.

    The outage may last an hour. The new process cannot read the stream, so it takes the records of
    a peer. Once the log is back, it goes on after the peer's last record.
    """
    async with running_store() as (standin, address), running_feed(address) as peer:
        publish(standin.log)
        switch(standin.log, 0, "peak")
        with trio.fail_after(5):
            while peer.revision < 1:
                await peer.changed()
        standin.faults.set(Fault(FaultKind.OUTAGE))
        async with running_feed(address) as fresh:
            assert fresh.current is None
            assert not fresh.log_reachable
            assert fresh.apply_peer_records(peer.records_from(fresh.state.position))
            assert fresh.current == peer.current
            standin.faults.clear()
            switch(standin.log, 1, "ordinary")
            with trio.fail_after(10):
                while fresh.revision < 2:
                    await fresh.changed()


async def test_a_feed_behind_a_trimmed_log_keeps_its_state_until_it_reads_a_checkpoint() -> None:
    async with running_store() as (standin, address):
        feed = make_feed(address)
        publish(standin.log)
        assert await feed.catch_up()
        switch(standin.log, 0, "peak")
        other = make_feed(address, timedelta(0))
        assert await other.catch_up()
        await other._write_checkpoint()
        standin.log.stream("configuration").trim_before(2)
        assert await feed.catch_up()
        assert (feed.revision, feed.state.complete) == (1, True)
        fresh = make_feed(address)
        assert await fresh.catch_up()
        assert fresh.current == feed.current


async def test_peer_records_that_leave_a_gap_are_rejected() -> None:
    async with running_store() as (standin, address):
        feed = make_feed(address)
        publish(standin.log)
        assert await feed.catch_up()
        peer = make_feed(address)
        switch(standin.log, 0, "peak")
        switch(standin.log, 1, "ordinary")
        assert await peer.catch_up()
        assert not feed.apply_peer_records(peer.records_from(2))
        assert feed.state.position == 1
        assert feed.apply_peer_records(peer.records_from(0))
        assert feed.revision == 2
        assert not feed.apply_peer_records(peer.records_from(0)[:1])
        assert feed.revision == 2


async def test_a_checkpoint_is_written_before_the_records_expire() -> None:
    async with running_store() as (standin, address):
        publish(standin.log)
        feed = make_feed(address, timedelta(0))
        async with trio.open_nursery() as nursery:
            await nursery.start(feed.run)
            stream = standin.log.stream("configuration")
            with trio.fail_after(5):
                while stream.next_offset < 2:
                    await stream.changed.wait()
            nursery.cancel_scope.cancel()
        checkpoint = decode_entry(stream.records[1].payload)
        assert isinstance(checkpoint, Checkpoint)
        assert (checkpoint.revision, checkpoint.through) == (0, 1)

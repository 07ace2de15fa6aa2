"""Encoders and decoders of hellos, heartbeats and configuration records."""

from __future__ import annotations

from typing import Any

from ragwortwing_policy.routing import BackendKind

from ._registry import decodes, encodes
from ._values import read_load, write_load
from .messages import (
    AgentHello,
    ConfigurationRecord,
    ConfigurationRecords,
    ConfigurationRequest,
    EntryHello,
    Heartbeat,
)


@encodes(EntryHello)
def _write_entry_hello(message: EntryHello, envelope: Any) -> None:
    builder = envelope.init("entryHello")
    builder.entryId = message.entry_id
    builder.zone = message.zone
    builder.revision = message.revision
    builder.version = message.version


@decodes("entryHello")
def _read_entry_hello(reader: Any) -> EntryHello:
    return EntryHello(reader.entryId, reader.zone, reader.revision, reader.version)


@encodes(AgentHello)
def _write_agent_hello(message: AgentHello, envelope: Any) -> None:
    builder = envelope.init("agentHello")
    builder.agentId = message.agent_id
    builder.zone = message.zone
    builder.kind = message.kind.value
    builder.targets = list(message.targets)
    builder.revision = message.revision
    builder.version = message.version


@decodes("agentHello")
def _read_agent_hello(reader: Any) -> AgentHello:
    return AgentHello(
        agent_id=reader.agentId,
        zone=reader.zone,
        kind=BackendKind(reader.kind),
        targets=tuple(reader.targets),
        revision=reader.revision,
        version=reader.version,
    )


@encodes(Heartbeat)
def _write_heartbeat(message: Heartbeat, envelope: Any) -> None:
    builder = envelope.init("heartbeat")
    builder.sequence = message.sequence
    builder.revision = message.revision
    builder.leaving = message.leaving
    if message.load is not None:
        write_load(message.load, builder.init("load"))


@decodes("heartbeat")
def _read_heartbeat(reader: Any) -> Heartbeat:
    return Heartbeat(
        sequence=reader.sequence,
        revision=reader.revision,
        load=read_load(reader.load) if reader._has("load") else None,
        leaving=reader.leaving,
    )


@encodes(ConfigurationRequest)
def _write_configuration_request(message: ConfigurationRequest, envelope: Any) -> None:
    envelope.init("configurationRequest").offset = message.offset


@decodes("configurationRequest")
def _read_configuration_request(reader: Any) -> ConfigurationRequest:
    return ConfigurationRequest(reader.offset)


@encodes(ConfigurationRecords)
def _write_configuration_records(message: ConfigurationRecords, envelope: Any) -> None:
    builders = envelope.init("configurationRecords", len(message.records))
    for index, record in enumerate(message.records):
        builder = builders[index]
        builder.offset = record.offset
        builder.payload = record.payload


@decodes("configurationRecords")
def _read_configuration_records(readers: Any) -> ConfigurationRecords:
    return ConfigurationRecords(
        tuple(ConfigurationRecord(each.offset, each.payload) for each in readers)
    )

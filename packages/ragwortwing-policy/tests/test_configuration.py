"""Tests of the overrides that a preset applies to request classes."""

from __future__ import annotations

from datetime import timedelta

from ragwortwing_policy.configuration import ClassOverride, Configuration, Preset, RequestClass


def configuration(preset: str) -> Configuration:
    return Configuration(
        revision=1,
        preset=preset,
        classes_by_name={"chat": RequestClass("chat", 0), "draft": RequestClass("draft", 3)},
        presets_by_name={
            "ordinary": Preset("ordinary"),
            "peak": Preset(
                "peak",
                {
                    "chat": ClassOverride(queue_limit=timedelta(seconds=1)),
                    "draft": ClassOverride(admitted=False),
                },
            ),
        },
    )


def test_preset_changes_named_class_only() -> None:
    peak = configuration("peak")
    assert peak.class_in_force("chat").queue_limit == timedelta(seconds=1)
    assert peak.class_in_force("draft").tier == 3


def test_preset_may_refuse_a_class() -> None:
    assert not configuration("peak").admits("draft")
    assert configuration("ordinary").admits("draft")

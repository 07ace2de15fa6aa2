"""Runs experiments with several seeds and writes a Markdown report with plots."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from typing import TYPE_CHECKING

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402  # the headless backend must be selected first

from .experiments.comparison import Comparison  # noqa: E402
from .experiments.registry import load_experiments  # noqa: E402

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from .experiments.registry import Experiment, Result

REPORT_NAME = "report.md"
PLOT_SIZE = (9.0, 4.0)


def write_report(
    experiments: Sequence[Experiment], seeds: Sequence[int], out: Path, jobs: int = 1
) -> Path:
    """Run each experiment with each seed and write the report.

    Args:
        experiments: The experiments, in the order of the report.
        seeds: Seeds of the random streams.
        out: Directory for the report and its plots; created if it does not exist.
        jobs: Number of worker processes; 1 runs all experiments in the current process.

    Returns:
        The report's path.
    """
    out.mkdir(parents=True, exist_ok=True)
    parts = [f"# Experiments\n\nSeeds {', '.join(map(str, seeds))}; virtual time.\n"]
    tasks = [(each.name, seed) for each in experiments for seed in seeds]
    results = iter(_run_all(tasks, jobs))
    for each in experiments:
        parts.append(_section(each, [next(results) for _ in seeds], out))
    path = out / REPORT_NAME
    path.write_text("\n".join(parts), encoding="utf-8")
    return path


def _run_all(tasks: Sequence[tuple[str, int]], jobs: int) -> list[Result]:
    if jobs == 1:
        return [_run_one(each) for each in tasks]
    with ProcessPoolExecutor(max_workers=jobs) as pool:
        return list(pool.map(_run_one, tasks))


def _run_one(task: tuple[str, int]) -> Result:
    name, seed = task
    return load_experiments()[name].function(seed)


def _section(experiment: Experiment, results: Sequence[Result], out: Path) -> str:
    lines = [f"## {experiment.name}\n\n{experiment.summary}\n"]
    comparisons = [each for each in results if isinstance(each, Comparison)]
    if comparisons:
        plot = out / f"{experiment.name}.png"
        _plot(comparisons, plot)
        lines += [*_table(comparisons), "", *_goals(comparisons), f"\n![]({plot.name})\n"]
    else:
        lines += [f"```\n{each.render()}\n```" for each in results]
    return "\n".join(lines)


def _table(results: Sequence[Comparison]) -> list[str]:
    classes = _class_names(results)
    lines = [
        f"| variant | {' | '.join(f'{each} attained' for each in classes)} "
        "| useful tokens | orders | wasted | inversions |",
        "|---" * (len(classes) + 5) + "|",
    ]
    for index, variant in enumerate(results[0].variants):
        runs = [each.variants[index] for each in results]
        shares = [_range(_attainments(results, index, each)) for each in classes]
        useful = sum(each.useful_tokens for each in runs) / len(runs)
        orders = sum(each.orders for each in runs) / len(runs)
        wasted = max(each.wasted_share for each in runs)
        inversions = sum(each.inversions for each in runs)
        cells = [variant.variant, *shares, f"{useful:.0f}", f"{orders:.0f}", f"{wasted:.2%}"]
        lines.append(f"| {' | '.join(cells)} | {inversions} |")
    return lines


def _goals(results: Sequence[Comparison]) -> list[str]:
    lines = []
    for result in results:
        for goal in result.goals:
            verdict = "met" if goal.met else "missed"
            value = f"{goal.value:.4g} (goal {goal.wanted})"
            lines.append(f"- seed {result.seed}: {goal.name} {value}: {verdict}")
        for figure in result.figures:
            lines.append(f"- seed {result.seed}: {figure.name}: {figure.value:.4g}")
    return lines


def _plot(results: Sequence[Comparison], path: Path) -> None:
    classes = _class_names(results)
    variants = [each.variant for each in results[0].variants]
    width = 0.8 / len(variants)
    figure, axes = plt.subplots(figsize=PLOT_SIZE)
    for index, variant in enumerate(variants):
        samples = [_attainments(results, index, each) or [0.0] for each in classes]
        means = [sum(each) / len(each) for each in samples]
        below = [mean - min(each) for mean, each in zip(means, samples, strict=True)]
        above = [max(each) - mean for mean, each in zip(means, samples, strict=True)]
        positions = [position + index * width for position in range(len(classes))]
        axes.bar(positions, means, width, yerr=[below, above], label=variant)
    axes.set_xticks([position + 0.4 - width / 2 for position in range(len(classes))], classes)
    axes.set_ylabel("attained, share of offered")
    axes.set_ylim(0, 1.05)
    axes.legend(fontsize="x-small", loc="center left", bbox_to_anchor=(1, 0.5))
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)


def _class_names(results: Sequence[Comparison]) -> list[str]:
    names = (name for variant in results[0].variants for name in variant.classes_by_name)
    return list(dict.fromkeys(names))


def _attainments(results: Sequence[Comparison], index: int, class_name: str) -> list[float]:
    figures = [each.variants[index].classes_by_name.get(class_name) for each in results]
    return [each.attainment for each in figures if each is not None]


def _range(values: Sequence[float]) -> str:
    if not values:
        return "-"
    return f"{sum(values) / len(values):.1%} ({min(values):.1%}–{max(values):.1%})"

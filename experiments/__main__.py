"""Command line of the experiments."""

import pathlib
import sys
import tempfile

import fire

from experiments.harness import min_median_max
from experiments.scenarios import SCENARIOS, Row, Run
from testing.fleet import ROOT
from testing.shapes import SHAPES


def run(
    name: str,
    shape: str = "urquiola",
    seed: int = 1,
    seeds: int = 1,
    without: str = "",
    seconds: float = 0.0,
    directory: str = "",
    write: bool = False,
) -> None:
    """Run a scenario and print minimum, median and maximum over the seeds.

    There are ``seeds`` runs, with seeds from ``seed`` on. ``without`` lists
    the mechanisms to disable, separated by commas. ``seconds`` replaces the
    scenario's duration. ``write`` writes the table to docs/measurements/.
    """
    if name not in SCENARIOS:
        sys.exit(f"unknown scenario {name}; known: {', '.join(SCENARIOS)}")
    if shape not in SHAPES:
        sys.exit(f"unknown shape {shape}; known: {', '.join(SHAPES)}")
    # Fire parses a list with commas into a tuple.
    disabled = without if isinstance(without, str) else ",".join(without)
    results: list[list[Row]] = []
    for number in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory() as scratch:
            folder = pathlib.Path(directory or scratch) / f"{name}-{number}"
            print(f"{name} {shape} seed={number} without={disabled or 'nothing'}")
            plan = Run(
                shape=SHAPES[shape],
                seed=number,
                directory=folder,
                without=disabled,
                seconds=seconds,
            )
            results.append(SCENARIOS[name](plan))
    lines = format_table(results)
    print("\n".join(lines))
    if write:
        _write_page(name, shape, seed, seeds, disabled, lines)


def format_table(results: list[list[Row]]) -> list[str]:
    """Format a Markdown table with one line for each row and measure."""
    lines = [
        "| row | measure | min | median | max |",
        "| --- | --- | --- | --- | --- |",
    ]
    for position, (label, _) in enumerate(results[0]):
        rows = [result[position][1] for result in results]
        for measure, (low, middle, high) in min_median_max(rows).items():
            figures = f"{low:.2f} | {middle:.2f} | {high:.2f}"
            lines.append(f"| {label} | {measure} | {figures} |")
    return lines


def _write_page(
    name: str, shape: str, seed: int, seeds: int, without: str, lines: list[str]
) -> None:
    folder = ROOT / "docs" / "measurements"
    folder.mkdir(parents=True, exist_ok=True)
    suffix = f"-without-{without.replace(',', '-')}" if without else ""
    command = f"python -m experiments run {name} --shape {shape} --seed {seed}"
    command += f" --seeds {seeds}" + (f" --without {without}" if without else "")
    text = [f"# {name}, {shape}{suffix}", "", f"`{command}`", "", *lines, ""]
    (folder / f"{name}-{shape}{suffix}.md").write_text("\n".join(text))


def list_scenarios() -> None:
    """Print the scenarios with their descriptions."""
    for name, scenario in SCENARIOS.items():
        print(f"{name}: {scenario.__doc__}")


if __name__ == "__main__":
    fire.Fire({"run": run, "list": list_scenarios})

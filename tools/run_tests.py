"""Runs formatter check, linter and behave, and prints the count of scenarios last.

The verdict is read from behave's own JSON result file. A failing scenario makes the run fail
unless ``KNOWN-RED.txt`` names it; the listed ones are printed.
"""

import json
import subprocess
import sys
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
RESULT_FILE = ROOT / "build" / "behave.json"
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
CHECKED_FOLDERS = ("berylproxy", "standins", "tests", "tools")
PASSED = "passed"
SKIPPED_STATUSES = ("skipped", "untested")


def run_tool(module: str, *arguments: str) -> bool:
    """Runs ``python -m module`` in the project's root and tells whether it succeeded."""
    command = [sys.executable, "-m", module, *arguments]
    return subprocess.run(command, cwd=ROOT, check=False).returncode == 0


def run_features(paths: list[str]) -> bool:
    """Runs behave, which writes its results to :data:`RESULT_FILE`."""
    RESULT_FILE.parent.mkdir(exist_ok=True)
    RESULT_FILE.unlink(missing_ok=True)
    formats = ["--format", "json", "--outfile", str(RESULT_FILE), "--format", "progress"]
    return run_tool("behave", "--no-color", *formats, *paths)


def read_statuses() -> dict[str, str]:
    """Reads each scenario's status, keyed ``location: name``, from behave's result file."""
    if not RESULT_FILE.exists():
        return {}
    features = json.loads(RESULT_FILE.read_text() or "[]")
    return {
        f"{scenario['location']}: {scenario['name']}": scenario["status"]
        for feature in features
        for scenario in feature.get("elements", [])
        if scenario["type"] != "background"
    }


def classify(status: str) -> str:
    """Maps a behave status to ``passed``, ``failed`` or ``skipped``."""
    if status == PASSED:
        return PASSED
    return "skipped" if status in SKIPPED_STATUSES else "failed"


def is_known_red(scenario: str, known_red: str) -> bool:
    """Tells whether the scenario's name stands in ``KNOWN-RED.txt`` as a whole line."""
    name = scenario.split(": ", 1)[1]
    return any(line.strip() == f"test: {name}" for line in known_red.splitlines())


def main(arguments: list[str]) -> int:
    """Runs all checks and returns the exit status."""
    formatted = run_tool("black", "--check", "--quiet", *CHECKED_FOLDERS)
    linted = run_tool("ruff", "check", "--quiet", *CHECKED_FOLDERS)
    features_passed = run_features(arguments)
    statuses = read_statuses()
    counts = Counter(classify(status) for status in statuses.values())
    known_red = KNOWN_RED_FILE.read_text() if KNOWN_RED_FILE.exists() else ""
    failed = [name for name, status in statuses.items() if classify(status) == "failed"]
    unexpected = [name for name in failed if not is_known_red(name, known_red)]
    for name in failed:
        print(f"{'failed' if name in unexpected else 'known red'}: {name}")
    print(f"black: {'clean' if formatted else 'would reformat'}")
    print(f"ruff: {'clean' if linted else 'has findings'}")
    print(f"{counts[PASSED]} passed, {counts['failed']} failed, {counts['skipped']} skipped")
    # behave also fails on errors outside scenarios (hooks, unreadable features).
    features_accepted = features_passed or (bool(failed) and not unexpected)
    return 0 if formatted and linted and features_accepted and counts[PASSED] else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

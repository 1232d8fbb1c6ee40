PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.DEFAULT_GOAL := help
.PHONY: help setup demo test prove soak bench report throughput slopes format clean

SEED ?= 1
SEEDS ?= 1
SCENARIO ?= steady-70

help:  ## Lists the targets
	@grep -E '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/'

$(BIN)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $@

setup: $(BIN)/.installed  ## Makes the virtual environment

demo: setup  ## Runs a job of 310 tasks through three daemons
	$(BIN)/python -m tools.demo

test: setup  ## Runs formatter check, linter and all behave features
	$(BIN)/python -m tools.run_tests

prove: setup  ## Runs a random schedule of faults and checks all histories (SEED=n)
	$(BIN)/python -m tools.prove --seed $(SEED)

soak: setup  ## Injects random faults into the platform's daemons and checks the history (SEED=n SEEDS=n)
	$(BIN)/python -m tools.soak --seed $(SEED) --seeds $(SEEDS)

bench: setup  ## Compares placement with simple policies and a bound (SCENARIO=s SEED=n)
	$(BIN)/python -m tools.bench --scenario $(SCENARIO) --seed $(SEED)

report: setup  ## Runs a scenario over five seeds and reports the spread (SCENARIO=s)
	$(BIN)/python -m tools.bench.report --scenarios $(SCENARIO)

throughput: setup  ## Measures task starts a processor second against direct calls
	$(BIN)/python -m tools.bench.throughput

slopes: setup  ## Measures how costs grow with size, for docs/CAPACITY.md
	$(BIN)/python -m tools.slopes

format: setup  ## Formats the code
	$(BIN)/black --quiet berylproxy standins tests tools
	$(BIN)/ruff check --fix berylproxy standins tests tools

clean:  ## Removes what the other targets made
	rm -rf $(VENV) build *.egg-info

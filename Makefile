PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.DEFAULT_GOAL := help
.PHONY: help setup demo test bench format clean

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

bench: setup  ## Measures the placement: make bench SCENARIO=steady-70 SEED=1
	$(BIN)/python -m tools.bench --scenario $(or $(SCENARIO),steady-70) --seed $(or $(SEED),1)

format: setup  ## Formats the code
	$(BIN)/black --quiet berylproxy standins tests tools
	$(BIN)/ruff check --fix berylproxy standins tests tools

clean:  ## Removes what the other targets made
	rm -rf $(VENV) build *.egg-info

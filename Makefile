VENV ?= .venv
PYTHON ?= python3.11
BIN = $(VENV)/bin
PACKAGES = mimosapond standins loadtool soak tools features
export PYTHONPATH = $(CURDIR)

.PHONY: demo test setup format lint types behave

demo: setup
	$(BIN)/python -m loadtool.demo

test: setup lint types behave

setup: $(VENV)/installed

$(VENV)/installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock
	$(BIN)/pip install -q --no-deps -e .
	touch $@

format:
	$(BIN)/ruff format $(PACKAGES)

lint:
	$(BIN)/ruff format --check $(PACKAGES)
	$(BIN)/flake8 $(PACKAGES)

types:
	$(BIN)/mypy

behave:
	$(BIN)/python -m tools.run_behave $(FEATURES)

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup demo test check spec measure target soak capacity overhead format

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[develop]'
	touch $(STAMP)

setup: $(STAMP)

demo: $(STAMP)
	$(BIN)/cranberryrelay-demo

test: $(STAMP)
	$(BIN)/nose2

check: $(STAMP)
	$(BIN)/ruff format --check cranberryrelay
	$(BIN)/ruff check cranberryrelay
	$(BIN)/flake8 cranberryrelay
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format cranberryrelay
	$(BIN)/ruff check --fix cranberryrelay


measure: $(STAMP)
	$(BIN)/cranberryrelay-measure policy

target: $(STAMP)
	$(BIN)/cranberryrelay-measure target

soak: $(STAMP)
	$(BIN)/cranberryrelay-soak seeds 1 3

capacity: $(STAMP)
	$(BIN)/cranberryrelay-measure capacity

overhead: $(STAMP)
	$(BIN)/cranberryrelay-measure overhead

spec: $(STAMP)
	$(BIN)/cranberryrelay-spec

# Two commands are enough on a fresh machine: `make demo` and `make test`.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= matunda
SOURCES := packages platform tests tools
SRC := $(CURDIR)/packages
export PYTHONPATH := $(SRC)/verbenaworks/src:$(SRC)/verbenad/src:$(SRC)/verbena/src:$(SRC)/standins/src:$(CURDIR)/platform
export EVENTLET_NO_GREENDNS := yes
export PYTHONHASHSEED := 0

.PHONY: demo test format lint types unit measure mutants fuzz capacity clean
FUZZ_SECONDS ?= 300

$(VENV)/ready: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(foreach p,verbenaworks standins verbenad verbena,--editable packages/$(p))
	touch $@

demo: $(VENV)/ready
	$(BIN)/python tools/demo.py --deployment $(DEPLOYMENT)

test: lint types unit

capacity: $(VENV)/ready
	$(BIN)/python tools/capacity.py --write

lint: $(VENV)/ready
	$(BIN)/ruff format --check --quiet $(SOURCES)
	$(BIN)/ruff check --quiet $(SOURCES)

format: $(VENV)/ready
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

types: $(VENV)/ready
	$(BIN)/mypy --no-error-summary $(wildcard packages/*/src) platform/verbena_platform

unit: $(VENV)/ready
	$(BIN)/python -m pytest $(PYTEST_OPTIONS)

# Prints each figure beside its target and baselines; about 25 minutes.
measure: $(VENV)/ready
	mkdir -p out
	$(BIN)/python tools/measure_path.py --deployment matunda --json out/measure-path-matunda.json
	$(BIN)/python tools/measure_path.py --deployment toile --json out/measure-path-toile.json
	$(BIN)/python tools/measure_load.py --deployment matunda --json out/measure-load-matunda.json
	$(BIN)/python tools/measure_load.py --deployment toile --json out/measure-load-toile.json
	$(BIN)/python tools/measure_edge.py --json out/measure-edge.json
	$(BIN)/python tools/measure_budgets.py --json out/measure-budgets.json
	$(BIN)/python tools/measure_agreement.py --json out/measure-agreement.json
	$(BIN)/python tools/measure_choice.py --json out/measure-choice.json

# Applies named one-line faults and tells which the tests catch.
mutants: $(VENV)/ready
	$(BIN)/python tools/mutants.py

# Runs histories with fresh seeds for FUZZ_SECONDS; a failing seed is printed.
fuzz: $(VENV)/ready
	$(BIN)/python tools/fuzz.py --seconds $(FUZZ_SECONDS)

clean:
	rm -rf $(VENV) out

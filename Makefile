# Two commands are enough on a fresh machine: `make demo` and `make test`.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= matunda
SOURCES := packages tests tools
SRC := $(CURDIR)/packages
export PYTHONPATH := $(SRC)/verbenaworks/src:$(SRC)/verbenad/src:$(SRC)/verbena/src:$(SRC)/standins/src
export EVENTLET_NO_GREENDNS := yes
export PYTHONHASHSEED := 0

.PHONY: demo test capacity format lint types unit clean

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
	$(BIN)/mypy --no-error-summary $(wildcard packages/*/src)

unit: $(VENV)/ready
	$(BIN)/python -m pytest

clean:
	rm -rf $(VENV) out

# Two commands do all their own set-up: make demo, make test.
PYTHON ?= python3.11
VENV := .venv
PY := $(VENV)/bin/python
SOURCES := eelgrassfork standins demo bench tests

.PHONY: demo test lint types faults bench format

$(VENV)/.ready: requirements.lock
	test -x $(PY) || $(PYTHON) -m venv $(VENV)
	$(PY) -m pip install -q --disable-pip-version-check -r requirements.lock
	$(PY) -m pip install -q --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: $(VENV)/.ready
	$(PY) -m demo $(if $(KEEP),--keep)

test: $(VENV)/.ready
	$(PY) -m pytest tests

lint: $(VENV)/.ready
	$(PY) -m ruff format --check $(SOURCES)
	$(PY) -m ruff check $(SOURCES)
	$(PY) -m flake8 $(SOURCES)
	$(PY) -m mypy

faults: $(VENV)/.ready
	$(PY) -m tests.fault_matrix

bench: $(VENV)/.ready
	$(PY) -m bench

format: $(VENV)/.ready
	$(PY) -m ruff check --fix $(SOURCES)
	$(PY) -m ruff format $(SOURCES)

VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed

.PHONY: test lint demo measures clean

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	PYTHONPATH=. $(BIN)/lint-imports --no-cache

demo: $(STAMP)
	$(BIN)/python -m buckthornrock demo

measures: $(STAMP)
	$(BIN)/python -m benchmarks.measures

clean:
	rm -rf $(VENV)

# Two commands do all set-up on a fresh machine: `make demo` and `make test`.
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint bad-day

$(VENV)/installed: pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip -q install -e '.[dev]'
	touch $@

demo: $(VENV)/installed
	$(BIN)/gingervane demo

test: $(VENV)/installed
	$(BIN)/python -m pytest -n 3 --dist loadfile

lint: $(VENV)/installed
	$(BIN)/ruff check .
	$(BIN)/mypy

bad-day: $(VENV)/installed
	$(BIN)/gingervane run-scenario bad-day --out $(VENV)/bad-day

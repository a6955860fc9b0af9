VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
SEED ?= 1
EXAMPLES ?= 2000

.PHONY: venv test demo bench recovery slopes proofs soak experiment format

venv: $(VENV)/.installed

$(VENV)/.installed: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

test: venv
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m jujubebarrow.tests.run

proofs: venv
	$(BIN)/python -m jujubebarrow.tests.run --proofs

soak: venv
	$(BIN)/python -m jujubebarrow.tests.run --proofs --seed $(SEED) --examples $(EXAMPLES)

demo: venv
	$(BIN)/python -m jujubebarrow.benches.demos

bench: venv
	$(BIN)/python -m jujubebarrow.benches.proxies

recovery: venv
	$(BIN)/python -m jujubebarrow.tests.recoveries

slopes: venv
	$(BIN)/python -m jujubebarrow.benches.slopes

experiment: venv
	$(BIN)/python -m jujubebarrow.benches.experiments

format: venv
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# The two commands of the README are `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := packages/core packages/router packages/ctl packages/standins platform

.PHONY: demo test format lint types unit soak soak-faults bench measure capacity quiet \
  clean

$(STAMP): requirements.txt $(PACKAGES:%=%/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install -q --disable-pip-version-check --no-deps \
	  --no-build-isolation $(PACKAGES:%=-e ./%)
	touch $@

demo: $(STAMP)
	KEEP=$(KEEP) bash scripts/demo.sh

test: format lint types unit

format: $(STAMP)
	$(BIN)/ruff format --check .

lint: $(STAMP)
	$(BIN)/ruff check .

types: $(STAMP)
	$(BIN)/mypy packages/core/nutmegpost_core packages/router/nutmegpost_router \
	  packages/ctl/nutmegpost_ctl packages/standins/nutmegpost_standins \
	  platform/nutmegpost_platform

unit: $(STAMP)
	$(BIN)/python -m pytest -n 4 --dist loadgroup

soak: $(STAMP)
	$(BIN)/python -m nutmegpost_standins.soak --seed=$(or $(SEED),0) \
	  --seconds=$(or $(SECONDS),600)

# Runs gateway processes and injects faults from outside; see tests/platform.
soak-faults: $(STAMP)
	PYTHONPATH=tests:tests/platform $(BIN)/python tests/platform/faultsoak.py \
	  --seed $(or $(SEED),1) --count $(or $(COUNT),1) \
	  --seconds $(or $(SECONDS),10) --gateways $(or $(GATEWAYS),3) \
	  --faults $(or $(FAULTS),all) $(if $(LOGS),--logs $(LOGS))

bench: $(STAMP)
	$(BIN)/python -m nutmegpost_standins.bench

measure: $(STAMP)
	$(BIN)/python -m nutmegpost_standins.measure --seed=$(or $(SEED),1)

capacity: $(STAMP)
	$(BIN)/python -m nutmegpost_standins.capacity

# Set FLEETBENCH (the users' bench) and SITES (its site files) on the command line.
quiet:
	for site in $(SITES); do \
	  $(FLEETBENCH) run $$site quiet-1 --why "$(or $(WHY),quiet day)" || exit 1; \
	done

clean:
	rm -rf $(VENV) .hypothesis .mypy_cache .ruff_cache

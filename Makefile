# On a fresh machine, `make demo` and `make test` install what they need into $(VENV).
VENV ?= .venv
SYSTEM_PYTHON ?= python3.11
PYTHON := $(VENV)/bin/python
PACKAGES := core daemon cli standins
STAMP := $(VENV)/.installed-$(shell cat requirements*.txt constraints.txt packages/*/pyproject.toml | cksum | cut -d' ' -f1)
WORKERS ?= 4
PLATFORM_WORKERS ?= 4
SOAK_WORKERS ?= 3

empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(foreach p,$(PACKAGES),$(CURDIR)/packages/$(p)) $(CURDIR)/platform)
export PATH := $(abspath $(VENV))/bin:$(PATH)
# Without it, tracebacks of abandoned tasks are formatted by ast.parse, also within another ast.parse
# of pytest, which then ends with an internal error instead of its report.
export PYTHONNODEBUGRANGES := 1

.PHONY: setup demo up down test quick-checks types format lint check-proto check-reference reference check-model doctest pytest pytest-packages pytest-platform soak measure bench capacity proto

setup: $(STAMP)

$(STAMP):
	test -x $(PYTHON) || $(SYSTEM_PYTHON) -m venv $(VENV)
	$(PYTHON) -m pip install -q -c constraints.txt --upgrade pip
	$(PYTHON) -m pip install -q --no-compile -c constraints.txt -r requirements-dev.txt
	$(PYTHON) -m pip install -q --no-compile --no-deps $(foreach p,$(PACKAGES),-e packages/$(p))
	touch $@

demo: setup
	$(PYTHON) tools/demo.py demo

up: setup
	$(PYTHON) tools/demo.py up

down: setup
	$(PYTHON) tools/demo.py down

# The quick checks need one processor, and the tests of the platform mostly wait: all run at once.
test: setup
	$(MAKE) --output-sync=target --jobs=3 pytest-packages pytest-platform quick-checks

quick-checks: lint check-proto check-reference doctest
	$(MAKE) check-model

types: setup
	$(PYTHON) -m pip install -q -c constraints.txt -r requirements-types.txt
	$(PYTHON) -m basedpyright packages platform

format: setup
	$(PYTHON) -m ruff format packages platform tools
	$(PYTHON) -m ruff check --fix packages platform tools

lint: setup
	$(PYTHON) -m ruff format --check packages platform tools
	$(PYTHON) -m ruff check packages platform tools

proto: setup
	$(PYTHON) tools/generate.py

check-proto: setup
	$(PYTHON) tools/generate.py --check

reference: setup
	$(PYTHON) tools/reference.py

check-reference: setup
	$(PYTHON) tools/reference.py --check

doctest: setup
	$(PYTHON) -m pytest --doctest-modules --ignore-glob='*/tests/*' $(foreach p,$(PACKAGES),packages/$(p)/persimmonstall*)
	$(PYTHON) -m pytest --doctest-modules -c platform/pytest.ini platform/persimmonstall_platform

pytest: pytest-packages pytest-platform

pytest-packages: setup
	$(PYTHON) tools/run_tests.py -n $(WORKERS) --dist loadfile --no-loadscope-reorder -m "not soak" packages

pytest-platform: setup
	$(PYTHON) tools/run_tests.py -n $(PLATFORM_WORKERS) --dist loadfile -m "not soak" -c platform/pytest.ini platform

check-model: setup
	$(PYTHON) tools/check_model.py

soak: setup
	$(PYTHON) -m pytest -n $(WORKERS) -m soak packages
	$(PYTHON) -m pytest -n $(SOAK_WORKERS) -m soak -c platform/pytest.ini platform

measure: setup
	$(PYTHON) tools/measure.py

bench: setup
	$(PYTHON) tools/bench.py
	$(PYTHON) tools/direct_costs.py

capacity: setup
	$(PYTHON) tools/capacity.py

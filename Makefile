# Every target makes the virtual environment first.
PY := .venv/bin/python

.PHONY: demo up test properties lint bench

.venv/ready: requirements.lock pyproject.toml
	python3 -m venv .venv
	.venv/bin/pip install --quiet --disable-pip-version-check --no-compile -r requirements.lock
	.venv/bin/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch .venv/ready

demo: .venv/ready
	bash demo/office.sh demo

up: .venv/ready
	bash demo/office.sh up

test: .venv/ready
	$(PY) -m chestnutfall.tests

lint: .venv/ready
	.venv/bin/black --check --quiet .
	.venv/bin/ruff check .
	.venv/bin/mypy

bench: .venv/ready
	$(PY) -m benchmarks.overhead
	$(PY) -m benchmarks.idle
	$(PY) -m benchmarks.slopes
	$(PY) -m benchmarks.control
	$(PY) -m benchmarks.placement

# Everyday commands; `make demo` and `make test` set everything up.
PYTHON ?= python3
BIN = .venv/bin
SEED ?= 1
SECONDS ?= 60
# Tests that KNOWN-RED.txt names as failing are not run.
KNOWN_RED = $(shell sed -n "s/^ *pytest: /--deselect /p" KNOWN-RED.txt)

.PHONY: setup demo test lint format generate matrix matrix-processes
.PHONY: soak bench-overhead bench-detection bench-load bench-capacity

setup: .venv/.installed

.venv/.installed: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --requirement requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation \
	    --editable packages/coordination \
	    --editable packages/daemon \
	    --editable packages/operator
	touch $@

demo: setup
	$(BIN)/python -m bench.demo

test: setup
	$(BIN)/python -m pytest $(KNOWN_RED)

lint: setup
	$(BIN)/black --quiet --check .
	$(BIN)/flake8

format: setup
	$(BIN)/black --quiet .

generate: setup
	cd packages/daemon/acaciafield_daemon && \
	    ../../../$(BIN)/python -m grpc_tools.protoc \
	    -I. --python_out=. peers.proto

matrix: setup
	$(BIN)/python -m bench.matrix --seed $(SEED)

matrix-processes: setup
	$(BIN)/python -m bench.matrix_processes --seed $(SEED)

bench-overhead: setup
	$(BIN)/python -m bench.overhead

bench-detection: setup
	$(BIN)/python -m bench.detection

bench-load: setup
	$(BIN)/python -m bench.load

bench-capacity: setup
	$(BIN)/python -m bench.capacity

soak: setup
	$(BIN)/python -m bench.soak --seed $(SEED) --seconds $(SECONDS)

# The chores of the project; README.md says what each is for.
PY := .venv/bin/python
STAMP := .venv/.installed
CODE := rackpost tests lab spec

.PHONY: test demo format lint bench bench-quick model model-mutants \
	history settings-page promises slopes documents control-load overhead \
	drill drill-quick lock clean

$(STAMP): requirements.txt pyproject.toml
	python3 -m venv .venv
	.venv/bin/pip install -q -r requirements.txt
	.venv/bin/pip install -q --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	.venv/bin/rackpost-demo

test: $(STAMP) lint
	$(PY) -m pytest

lint: $(STAMP)
	$(PY) -m black -q --check $(CODE)
	$(PY) -m flake8 $(CODE)
	$(PY) -m mypy rackpost

format: $(STAMP)
	$(PY) -m black -q $(CODE)

bench: $(STAMP)
	$(PY) -m lab.bench

bench-quick: $(STAMP)
	$(PY) -m lab.bench --quick

model: $(STAMP)
	$(PY) -m spec.check

model-mutants: $(STAMP)
	$(PY) -m spec.check --mutants

history: $(STAMP)
	$(PY) -m lab.history

overhead: $(STAMP)
	$(PY) -m lab.overhead

settings-page: $(STAMP)
	$(PY) -m lab.settings_page

documents: $(STAMP)
	$(PY) -m lab.documents

control-load: $(STAMP)
	$(PY) -m lab.control_load

promises: $(STAMP)
	$(PY) -m lab.promises

slopes: $(STAMP)
	$(PY) -m lab.slopes

drill: $(STAMP)
	$(PY) -m lab.drill

drill-quick: $(STAMP)
	$(PY) -m lab.drill --quick

lock:
	.venv/bin/pip freeze --exclude-editable > requirements.txt

clean:
	rm -rf .venv build

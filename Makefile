# make run    the main job: a whole system on stand-ins serves 300 requests
# make test   build, format, lint and tests, as CI runs them

PROGRAMS := gradetiller gradetiller-entry gradetiller-control gradetiller-load gradetiller-standin

.PHONY: all build run pwani test capacity measure faults soak bounds ablation

all: build

build:
	CGO_ENABLED=1 go build -o bin/ $(addprefix ./cmd/,$(PROGRAMS))

run: build
	scripts/run.sh whitmore

pwani: build
	scripts/run.sh pwani

test:
	scripts/test.sh

# every case of docs/MEASUREMENTS.md, naive policies against the defaults
measure: build
	scripts/measure.sh

# every fault of the brief on real processes under traffic
faults: build
	scripts/faults.sh

# the tables of docs/CAPACITY.md, from benchmarks run now
capacity:
	scripts/capacity.sh

# what each mechanism of the decisions is worth, with the bench beside it
ablation:
	scripts/ablation.sh

# random faults on real processes, checked from outside while they run
SEEDS ?= 50
FIRST ?= 1
SECONDS_EACH ?= 6
PROCESSES ?= 4
soak:
	go test ./internal/soak -count=1 -timeout 120m -v -args -first $(FIRST) -seeds $(SEEDS) -seconds $(SECONDS_EACH) -processes $(PROCESSES)

# a whole deployment on real processes, each answer held against its bounds of
# configuration changes
DEPLOYMENT ?= 61-nodes
bounds:
	go test ./internal/soak -run TestConfigurationBounds -count=1 -timeout 120m -v -args -bounds $(DEPLOYMENT) -first $(FIRST) -seeds $(SEEDS) -seconds $(SECONDS_EACH) -clients 40

# make run    starts a system with stand-ins for the platform and all endpoints, and
#             sends it 300 requests
# make test   build, format, lint and tests, as in CI

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

# the cases of docs/MEASUREMENTS.md: naive policies compared with the defaults
measure: build
	scripts/measure.sh

# fault injection on real processes under load
faults: build
	scripts/faults.sh

# runs the benchmarks and prints the tables of docs/CAPACITY.md
capacity:
	scripts/capacity.sh

# the value of each mechanism, measured by disabling it
ablation:
	scripts/ablation.sh

# random faults on real processes, whose responses are checked by an external client
SEEDS ?= 50
FIRST ?= 1
SECONDS_EACH ?= 6
PROCESSES ?= 4
soak:
	go test ./internal/soak -count=1 -timeout 120m -v -args -first $(FIRST) -seeds $(SEEDS) -seconds $(SECONDS_EACH) -processes $(PROCESSES)

# a full deployment of real processes; checks each response against the bounds for
# configuration changes
DEPLOYMENT ?= 61-nodes
bounds:
	go test ./internal/soak -run TestConfigurationBounds -count=1 -timeout 120m -v -args -bounds $(DEPLOYMENT) -first $(FIRST) -seeds $(SEEDS) -seconds $(SECONDS_EACH) -clients 40

# Every target needs only Go and make.
SHELL := bash
.SHELLFLAGS := -o pipefail -c
MODULES := core emberd embctl embfake embplay platform
PROGRAMS := emberd embctl embfake embplay
BIN := $(CURDIR)/bin

.PHONY: all build demo test compare lint prove slopes added bench race tour soak
all: build

build:
	@mkdir -p $(BIN)
	@for p in $(PROGRAMS); do (cd $$p && go build -o $(BIN)/ .) || exit 1; done

demo: build
	@BIN=$(BIN) scripts/demo.sh

test: build
	@for m in $(MODULES); do (cd $$m && go test -timeout 40m ./...) || exit 1; done

# make compare DEPLOYMENT=abonamente SEED=7
DEPLOYMENT ?= abonamente
SEED ?= 1
compare: build
	@BIN=$(BIN) scripts/compare.sh $(DEPLOYMENT) $(SEED)

lint:
	@BIN=$(BIN) scripts/lint.sh

# make prove SEED=n, make prove PROMISE=6
PROMISE ?= 0
prove: build
	@cd embplay && go test ./prove -run 'TestProve' -count=1 -timeout 10m -v -proveSeed=$(SEED) -provePromise=$(PROMISE) | grep -v '^=== \|^--- \|^time='

# make soak SEED=n plays the soaks once, and with MINUTES=m with fresh seeds in a row.
soak:
	@scripts/soak.sh $(SEED) $(MINUTES)

# make slopes writes docs/measurements/slopes.json
slopes: build
	@cd embplay && go test ./prove -run 'TestSlopes' -count=1 -timeout 20m -v -slopes=$(CURDIR)/docs/measurements | grep -v '^=== \|^--- \|^time='

# make added measures the time that a daemon adds to the first token.
added: build
	@cd embplay && go test ./prove -run 'TestAdded|TestClaimWrites' -count=1 -v -added | grep -v '^=== \|^--- \|^time='

bench:
	@cd core && go test -run '^$$' -bench . -benchtime 2000x ./route ./cache ./entry

# The race detector on everything that runs in one process.
race:
	@cd core && go test -race -count=1 ./...
	@cd emberd && go test -race -count=1 ./...

# make tour runs stand-ins and daemons for the README's tour, until Ctrl-C.
tour: build
	@BIN=$(BIN) scripts/tour.sh

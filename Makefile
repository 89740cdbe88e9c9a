# Versions of the tools; kept out of go.mod so that they bring in no modules.
GOLANGCI_VERSION := v2.15.0
PROTOC_GEN_GO_VERSION := v1.36.12

GOBIN := $(shell go env GOPATH)/bin
export PATH := $(GOBIN):$(PATH)

.PHONY: all build demo up test lint format-check docs generate tools bench capacity fuzz soak

all: build

build:
	go build -o bin/ ./cmd/...

# Runs an example deployment, shows what it does and stops it.
demo: build
	go run ./internal/demo

# Runs an example deployment until interrupted.
up: build
	go run ./internal/demo --up

# The tests of what processes hold come after all others, since they measure memory.
test:
	go test $$(go list ./... | grep -v /internal/crowd$$)
	go test ./internal/crowd

lint: tools
	golangci-lint run ./...

format-check:
	@unformatted="$$(gofmt -l $$(git ls-files '*.go'))"; \
	if [ -n "$$unformatted" ]; then echo "not gofmt-clean: $$unformatted"; exit 1; fi

# Pages that are generated from tables in the code; checks the names in docs/FREEDOMS.md.
docs:
	go run ./internal/docgen

# Regenerates the messages between processes; needs protoc.
generate:
	go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)
	go generate ./wire

tools:
	@golangci-lint version 2>/dev/null | grep -q "version $(GOLANGCI_VERSION:v%=%)" || \
	go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

# Compares the policies with simpler ones in virtual time.
bench:
	go run ./cmd/zinnia-bench
	go run ./cmd/zinnia-bench --targets

# Measures the slopes from which docs/CAPACITY.md works out the sums.
capacity:
	go run ./internal/capacity
	ZINNIA_MESH_HOSTS=130 go test -count=1 -v -run TestCostOfTheMesh ./controller
	ZINNIA_CAPACITY_SPREAD=7,30,60 ZINNIA_CAPACITY_STEADY=7,30,60 ZINNIA_CAPACITY_GRANTS=0,10,40,160 ZINNIA_CAPACITY_CHURN=30 ZINNIA_CAPACITY_USAGE=0,10,40,160 \
	go test -count=1 -v -run 'TestSpread|TestSteady|TestGrants|TestCallers|TestUsage|TestChurn' ./internal/capacity

# Seconds for each fuzz target.
FUZZ_SECONDS ?= 10

# Fuzzes what parses input from outside, each target in turn.
fuzz:
	go test ./gateway -run '^$$' -fuzz FuzzChatBody -fuzztime $(FUZZ_SECONDS)s
	go test ./gateway -run '^$$' -fuzz FuzzResumeToken -fuzztime $(FUZZ_SECONDS)s
	go test ./strictjson -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZ_SECONDS)s
	go test ./rawjson -run '^$$' -fuzz FuzzSplit -fuzztime $(FUZZ_SECONDS)s
	go test ./platform -run '^$$' -fuzz FuzzEntry -fuzztime $(FUZZ_SECONDS)s
	go test ./usage -run '^$$' -fuzz FuzzDecodeWindow -fuzztime $(FUZZ_SECONDS)s
	go test ./upstream -run '^$$' -fuzz FuzzResponse -fuzztime $(FUZZ_SECONDS)s
	go test ./internal/stricthttp -run '^$$' -fuzz FuzzResponse -fuzztime $(FUZZ_SECONDS)s
	go test ./tunnel -run '^$$' -fuzz FuzzFrames -fuzztime $(FUZZ_SECONDS)s
	go test ./timeline -run '^$$' -fuzz FuzzRead -fuzztime $(FUZZ_SECONDS)s
	go test ./configuration -run '^$$' -fuzz FuzzBundle -fuzztime $(FUZZ_SECONDS)s

# Runs the joined system under faults in virtual time and prints what was done
# and found. MINUTES are virtual minutes of faults. The seed fixes faults and
# load; the order of goroutines varies, the invariants do not.
SEED ?= 1
MINUTES ?= 30
soak:
	go test ./internal/soak -count=1 -v -timeout 0 -run TestLongRun -soak.seed $(SEED) -soak.minutes $(MINUTES)

GO ?= go

.PHONY: build test lint demo soak fault-soak bench policy capacity fuzz generate clean

build: ## Builds every program into bin/.
	$(GO) build -o bin/ ./cmd/...

lint: ## Formatter and linters; fails on any finding.
	@out=$$(gofmt -l cmd internal platform); [ -z "$$out" ] || { echo "not formatted:"; echo "$$out"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

test: lint ## Formatter, linter and all tests but those listed in KNOWN-RED.txt.
	./scripts/test.sh

demo: build ## Starts three instances and three endpoints and sends requests of every class.
	./scripts/demo.sh

soak: build ## Load with kills and freezes; SEED and SECONDS vary it.
	./scripts/soak.sh $(or $(SEED),1) $(or $(SECONDS),40)

fault-soak: ## Routed instances under random faults; SEEDS such as 1-50 or 7,9.
	$(GO) test -count=1 -timeout 60m ./platform/soak -parallel 4 -v -soak.seeds $(or $(SEEDS),1-50) -soak.logs $(or $(LOGS),/tmp/auburnstep-soak)

bench: ## Added latency and throughput of one daemon, about 40 s.
	./scripts/bench.sh

policy: ## The tables of docs/policy.md, about 40 s.
	$(GO) run ./cmd/auburnpolicy --seeds 1,2,3 --workers 4

capacity: build ## The slopes of docs/CAPACITY.md, some 15 minutes.
	./scripts/capacity.sh

fuzz: ## Each fuzz target for FUZZTIME.
	./scripts/fuzz.sh $(or $(FUZZTIME),10s)

generate: ## Regenerates the committed protobuf and connect code.
	./scripts/generate.sh

clean:
	rm -rf bin

GO ?= go
BINARIES := auburnstepd auburnctl fakeengine auburnload

.PHONY: build test lint demo generate fuzz policy clean

build: ## Builds every program into bin/.
	$(GO) build -o bin/ ./cmd/...

lint: ## Formatter and linters; fails on any finding.
	@out=$$(gofmt -l cmd internal); [ -z "$$out" ] || { echo "not formatted:"; echo "$$out"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

test: lint ## Formatter, linter and all tests but those listed in KNOWN-RED.txt.
	./scripts/test.sh

demo: build ## Starts three instances and three endpoints and sends requests of every class.
	./scripts/demo.sh

generate: ## Regenerates the committed protobuf and connect code.
	./scripts/generate.sh

clean:
	rm -rf bin

# Commands for developers. README.md describes the first two.
GO ?= go
FAULT ?=
GOPLS_VERSION = v0.23.0
# The tests that KNOWN-RED.txt lists: the first word of each line that begins with Test.
KNOWN_RED := $(shell sed -n 's/^\(Test[A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|')
SKIP_KNOWN_RED := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')

.PHONY: test lint demo demos quickstart build bench slopes gopls

build:
	$(GO) build -o bin/ ./cmd/...

lint:
	@out="$$($(GO) tool gofumpt -l .)"; if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	$(GO) tool revive -config revive.toml -formatter friendly ./...

# The core has no goroutines, except for the mutex of bvretry; the race detector
# makes its scenario tables six times slower and can find nothing there.
test: lint
	@if [ -s KNOWN-RED.txt ]; then echo "known failures, not run:"; cat KNOWN-RED.txt; fi
	$(GO) test -timeout 40m $(SKIP_KNOWN_RED) ./core/...
	$(GO) test -race -timeout 40m $(SKIP_KNOWN_RED) ./core/bvretry ./bench/... ./io/... ./cmd/... ./standin/... ./platform/...
	$(MAKE) demos
	./scripts/quickstart.sh

demo: build
	./scripts/demo.sh "$(FAULT)"

demos: build
	./scripts/demos.sh

quickstart:
	./scripts/quickstart.sh

bench: build
	./bin/bvbench table
	./scripts/bench-relay.sh

slopes: build
	./bin/bvbench slopes

# The language server renames identifiers in all packages: bin/gopls rename -w FILE:LINE:COLUMN NAME
gopls:
	GOBIN=$(CURDIR)/bin $(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)

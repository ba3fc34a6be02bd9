# The two commands of the README are `make demo` and `make test`.
GO ?= go
DEPLOYMENT ?= qalhat
BIN := bin
VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo dev)
LDFLAGS := -X goldcrestseam.dev/goldcrestseam/internal/version.Version=$(VERSION)
BINARIES := goldcrest-entry goldcrest-control goldcrestctl goldcrest-load goldcrest-engine

.PHONY: all build test fmt fmt-check lint vet generate generate-check demo capacity mutants clean

all: build

build:
	@mkdir -p $(BIN)
	$(GO) build -trimpath -ldflags '$(LDFLAGS)' -o $(BIN)/ ./cmd/...

# Seeds and counts are fixed, so that every run gives the same result.
test:
	GO=$(GO) ./scripts/test

fmt:
	gofmt -w $$(git ls-files -co --exclude-standard '*.go')

fmt-check:
	@out=$$(gofmt -l $$(git ls-files -co --exclude-standard '*.go')); \
	if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

vet:
	$(GO) vet ./...

lint:
	$(GO) tool staticcheck ./...

generate:
	./proto/generate.sh

# If protoc is installed, the committed code must equal its output.
generate-check:
	@if ! command -v protoc >/dev/null; then echo "generate-check: no protoc here, not run"; exit 0; fi; \
	out=$$(mktemp -d) && trap 'rm -rf "$$out"' EXIT && ./proto/generate.sh "$$out" && \
	diff -r "$$out/internal/rpc/pb" internal/rpc/pb

demo: build
	$(BIN)/goldcrest-load demo --deployment $(DEPLOYMENT) --bin $(BIN) --deploy deploy

# Measures how costs grow with size and rewrites the tables and plots of
# docs/CAPACITY.md.
capacity: build
	$(BIN)/goldcrest-load capacity --docs docs

# Removes each guard in a scratch copy of the tree and expects its test to fail.
mutants:
	./scripts/mutants

clean:
	rm -rf $(BIN)

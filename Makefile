# windscale: `make test` checks everything, `make demo` shows the main job.
SHELL := bash
GO ?= go
STATICCHECK := bin/staticcheck
FUZZTIME ?= 20s

# rapid draws from this seed, so that every run gives the same verdict.
export RAPID_SEED ?= 20261202

.PHONY: all build test lint race clean

all: build

build:
	$(GO) build -o bin/ ./cmd/...

$(STATICCHECK): tools/go.mod
	cd tools && $(GO) build -o ../$(STATICCHECK) honnef.co/go/tools/cmd/staticcheck

lint: $(STATICCHECK)
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$unformatted" ]; then echo "not gofmt'd: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(STATICCHECK) ./...

# The runbook's commands and a short soak run first, against fleets on loopback.
test: lint build runbook soak
	$(GO) test -race ./...

clean:
	rm -rf bin out

-include test/targets.mk test/targets-operate.mk

# windscale: `make test` checks everything, `make demo` shows the main job.
SHELL := bash
GO ?= go
STATICCHECK := bin/staticcheck
FUZZTIME ?= 20s
# Sources, documents and journal entries are far smaller; built programs are not.
MAX_TRACKED_BYTES := 1000000

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
	@large=$$(git ls-files -z | xargs -0 stat -c '%s %n' | awk '$$1 > $(MAX_TRACKED_BYTES)'); if [ -n "$$large" ]; then echo "tracked files over $(MAX_TRACKED_BYTES) bytes: $$large"; exit 1; fi
	$(GO) vet ./...
	$(STATICCHECK) ./...

# Tests that fail for a real fault which is not mended yet, a line each: name, command,
# what was seen, cause, issue. They are printed and passed over; all others count.
KNOWN_RED := $(shell cut -f1 KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)

# The runbook's commands and a short soak run first, against fleets on loopback.
test: lint build runbook soak
	@if [ -s KNOWN-RED.txt ]; then echo "known red, passed over:"; cat KNOWN-RED.txt; fi
	$(GO) test -race $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./...
	$(GO) test ./internal/emulator/controlplane # with its large sizes, which are left out above

clean:
	rm -rf bin out

-include test/targets.mk test/targets-operate.mk

# Real processes on loopback: scaffolding in test/fleet and test/cmd/fleet.
# Included by the Makefile. SEED gives the load and the faults' order.

SEED ?= 1
FLEET = bin/fleet --bin bin --out out --seed $(SEED)

.PHONY: demo up faults measure bench lab fleet-programs

fleet-programs:
	mkdir -p bin out
	go build -o bin/ ./cmd/... ./test/cmd/...

demo: fleet-programs ## show the whole path at work; ends within a minute
	$(FLEET) demo

up: fleet-programs ## leave a fleet running until Ctrl-C
	$(FLEET) up

faults: fleet-programs ## provoke failures, one by one and in pairs; within three minutes
	$(FLEET) faults

measure: fleet-programs bench ## fairness, utilisation, control traffic, on processes and on the core alone
	$(FLEET) measure

lab: ## the emulator's silent engines, under the program's decisions and two others; within half a minute
	go build -o bin/ ./cmd/windscale-lab
	bin/windscale-lab --policy product,homes-only,all-knowing --seeds 5 deploy/lab/silent.ini

bench: ## the core alone: sharing at 8, 40 and 410 routers, and the grant decision; within two minutes
	go test -run xxx -bench 'Sharing|Short' -benchtime 1x ./internal/core/share
	go test -run xxx -bench Grant ./internal/core/share

.PHONY: soak
SEEDS ?= 1,2,4,8006
RELAY_SEEDS ?= 1
SCHEDULER_SEEDS ?= 1
TRUNCATE_SEEDS ?= 1,2
ENDLESS_SEEDS ?= 1
MALFORMED_SEEDS ?= 2

soak: fleet-programs ## windscale-edge as processes under seeded faults; every promise is checked
	go build -o bin/ ./soak
	bin/soak --binary bin/windscale-edge --seeds $(SEEDS)
	bin/soak --binary bin/windscale-edge --seeds $(TRUNCATE_SEEDS) --faults truncate,reborn,kill,pause,stop,drain
	bin/soak --binary bin/windscale-edge --seeds $(ENDLESS_SEEDS) --faults endless,kill,pause,flood
	bin/soak --binary bin/windscale-edge --seeds $(MALFORMED_SEEDS) --faults malformed,kill,pause,stop,flood
	bin/soak --binary bin/windscale-edge --seeds $(RELAY_SEEDS) --relay --faults flood,kill,pause,stop
	bin/soak --binary bin/windscale-edge --seeds $(SCHEDULER_SEEDS) --scheduler --routers 16 --callers 24 --faults scheduler,kill,pause,flood

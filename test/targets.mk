# Real processes on loopback: scaffolding in test/fleet and test/cmd/fleet.
# Included by the Makefile. SEED gives the load and the faults' order.

SEED ?= 1
FLEET = bin/fleet --bin bin --out out --seed $(SEED)

.PHONY: demo up faults measure fleet-programs

fleet-programs:
	mkdir -p bin out
	go build -o bin/ ./cmd/... ./test/cmd/...

demo: fleet-programs ## show the whole path at work; ends within a minute
	$(FLEET) demo

up: fleet-programs ## leave a fleet running until Ctrl-C
	$(FLEET) up

faults: fleet-programs ## provoke failures, one by one and in pairs; within three minutes
	$(FLEET) faults

measure: fleet-programs ## fairness, utilisation, control traffic; within two minutes
	$(FLEET) measure
